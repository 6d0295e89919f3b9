#pragma once

#include "Base/Clock.h"
#include "Scheduling/StepWork.h"
#include "Scheduling/WorkKinds.h"
#include "Scheduling/WorkerSpeeds.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace jayramp::scheduling {

class JobEntry;
struct JobSpec;
struct Run;
struct StepSpec;
struct WorkerEntry;

/// Learns from the progress and the ends of runs how long the tasks of each
/// kind of work take, and how fast each worker is, apart from each other: the
/// time of a run is taken for the work of its step multiplied by the time
/// factor of its worker. Performs no I/O and reads no clock.
class RunTimeModel {
public:
  // Commands.

  /// Learns from a progress report of \p LiveRun, whose progress fields hold
  /// the state before the report.
  auto recordProgress(Run &LiveRun, const WorkerEntry &Worker,
                      std::uint32_t Percent, TimePoint Now) -> void;
  /// Learns from the success of \p LiveRun at \p Now.
  auto recordSuccess(const Run &LiveRun, const WorkerEntry &Worker,
                     TimePoint Now) -> void;
  /// Forgets what was learned of a worker, which has left or restarted.
  auto forgetWorker(const std::string &Id) -> void;
  /// Brings the time factors up to date with the measurements. Has no effect
  /// if it has done so recently. Returns whether time factors may have changed.
  auto refresh(const std::map<std::string, WorkerEntry> &Workers, TimePoint Now)
      -> bool;
  /// Takes over what another owner has learned of the speeds of workers.
  auto restoreSpeeds(const SpeedSummary &Known, TimePoint Now) -> void {
    Speeds.restore(Known, Now);
  }

  // Queries.

  /// Returns what is known of the speeds of workers, empty if they are not
  /// known to differ, or nothing until refresh() has seen registered workers
  /// since restoreSpeeds().
  auto summary() const -> std::optional<SpeedSummary> {
    return Speeds.summary();
  }
  /// Returns whether workers are known to differ in speed. If not, decisions
  /// must not depend on speed.
  auto knowsSpeeds() const -> bool { return Speeds.differ(); }
  /// Returns the time factors of all zones by name.
  auto zoneFactors() const -> std::map<std::string, double> {
    return Speeds.zoneFactors();
  }
  /// Returns the time factors of the workers that are slower than their rack
  /// beyond noise, by id.
  auto slowWorkers() const -> std::map<std::string, double> {
    return Speeds.slowWorkers();
  }
  /// Returns the expected time of a task on \p Worker as a multiple of its
  /// time on a typical worker, as of the last refresh(); 1 if nothing is known.
  /// The typical worker is the geometric mean of all workers.
  auto timeFactor(const WorkerEntry &Worker) const -> double;
  /// Returns the expected time of one task of \p Step of \p Job on a typical
  /// worker; the caller's estimate if nothing is known.
  auto expectedTime(const JobSpec &Job, std::uint32_t Step) const
      -> Milliseconds;
  /// Returns the same, also from what the runs of the job have shown.
  auto expectedTime(const JobEntry &Job, std::uint32_t Step) const
      -> Milliseconds;

private:
  /// Learns from the time \p Elapsed that \p LiveRun took for \p Percent of its
  /// task.
  auto recordMeasurement(const Run &LiveRun, const WorkerEntry &Worker,
                         std::uint32_t Percent, Clock::duration Elapsed,
                         TimePoint Now) -> void;
  /// Learns from \p Measured how much the tasks of a step differ.
  auto recordDeviation(const JobSpec &Job, const StepSpec &Step,
                       const StepWork &Work, const WorkExpectation &Expected,
                       const StepWork::Measurement &Measured, TimePoint Now)
      -> void;

  WorkerSpeeds Speeds;
  WorkKinds Kinds;
  TimePoint NextRefresh;
};

} // namespace jayramp::scheduling
