#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>

namespace jayramp::scheduling {

struct JobSpec;
struct Run;
struct WorkerEntry;

/// Learns from the progress and the ends of runs how long the tasks of each
/// kind of work take, and how fast each worker is, apart from each other.
/// Performs no I/O and reads no clock.
class RunTimeModel {
public:
  // Commands.

  /// Learns from a progress report of \p LiveRun, whose progress fields hold
  /// the state before the report.
  auto recordProgress(const Run &LiveRun, const WorkerEntry &Worker,
                      std::uint32_t Percent, TimePoint Now) -> void;
  /// Learns from the success of \p LiveRun at \p Now.
  auto recordSuccess(const Run &LiveRun, const WorkerEntry &Worker,
                     TimePoint Now) -> void;
  /// Forgets what was learned of a worker, which has left or restarted.
  auto forgetWorker(const std::string &Id) -> void;

  // Queries.

  /// Returns whether workers are known to differ in speed. If not, decisions
  /// must not depend on speed.
  auto knowsSpeeds() const -> bool;
  /// Returns the expected time of a task on \p Worker as a multiple of its
  /// time on a typical worker; 1 if nothing is known.
  auto timeFactor(const WorkerEntry &Worker) const -> double;
  /// Returns the expected time of one task of \p Step of \p Job on a typical
  /// worker; the caller's estimate if nothing is known.
  auto expectedTime(const JobSpec &Job, std::uint32_t Step) const
      -> Milliseconds;
};

} // namespace jayramp::scheduling
