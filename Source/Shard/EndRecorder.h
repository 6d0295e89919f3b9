#pragma once

#include "Base/Clock.h"
#include "Shard/EndAcknowledgement.h"
#include "Shard/WorkerTransport.h"

#include <string>
#include <string_view>
#include <vector>

namespace jayramp::shard {

struct SessionContext;

/// Reports the ends that a worker lists to the scheduler, and decides which of
/// them may be acknowledged.
class EndRecorder {
public:
  EndRecorder(SessionContext &SharedContext, std::string Worker);

  // Commands.

  /// Records the ends that were not reported before. Returns whether there are
  /// any. \p LeasesOver tells whether no lease on the worker can be valid.
  auto record(const std::vector<ReportedEnd> &Ended, bool LeasesOver) -> bool;
  /// Forgets the ends of the worker's former process, whose numbers mean
  /// nothing to the present one.
  auto onNewIncarnation() -> void;
  auto acknowledgement() -> EndAcknowledgement & { return Ends; }

  // Queries.

  auto acknowledgement() const -> const EndAcknowledgement & { return Ends; }

private:
  /// Withholds the acknowledgement of the success of a run whose task was
  /// started again, because the run had been taken for over. If it were
  /// acknowledged before the worker's lease has expired, the task would count
  /// as one that was started after its success was known.
  auto withhold(const ReportedEnd &End) -> void;
  /// Acknowledges ends again if there is no reason to withhold them any more.
  auto releaseWithheld(const std::vector<ReportedEnd> &Ended, bool LeasesOver)
      -> void;
  /// Keeps tasks off the worker until the next reply, so that its leases can
  /// expire.
  auto pauseWorker() const -> void;
  /// Logs why an end is no longer withheld, and for how long it was.
  auto logRelease(std::string_view Reason) const -> void;

  SessionContext &SharedContext;
  std::string Worker;
  EndAcknowledgement Ends; ///< Of the present incarnation.
  TimePoint WithheldSince; ///< If an end is withheld.
};

} // namespace jayramp::shard
