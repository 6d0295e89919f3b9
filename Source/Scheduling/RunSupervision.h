#pragma once

#include "Base/Clock.h"
#include "Scheduling/RunId.h"
#include "Scheduling/SchedulingDecisions.h"

#include <cstdint>
#include <vector>

namespace jayramp::scheduling {

class ShardScheduler;
struct Run;

/// Stops runs that would end earlier if they were restarted on another worker.
/// Used by ShardScheduler. Whether a run makes progress is judged by its
/// worker's reports alone: without a newer report, nothing is known about it.
class RunSupervision {
public:
  RunSupervision(ShardScheduler &Scheduler, TimePoint Now);

  /// Returns whether reports show no progress of a run for the stall timeout.
  /// Does not compare it with other runs.
  auto isStalled(const Run &LiveRun) const -> bool;
  /// Stops the runs, and the gangs that they belong to, and quarantines their
  /// workers.
  auto stopAsStalled(const std::vector<RunId> &StalledRuns) -> void;
  /// Checks the gangs that are starting or for which a report showed no
  /// progress, and stops members that hold up the others.
  auto stopStalledGangMembers() -> void;
  /// Stops runs that are not expected to end before their worker leaves.
  auto stopRunsOnLeavingWorkers() -> void;

private:
  /// The live members of one run of a gang.
  using Gang = std::vector<const Run *>;

  /// Returns the members that are not stopping; \p FirstMember names the gang.
  auto membersOf(const RunId &FirstMember) const -> Gang;
  /// Stops the other members if \p Id belongs to a gang.
  auto stopRestOfGang(const RunId &Id) -> void;
  auto collectStalledMembers(const Gang &Members,
                             std::vector<RunId> &StalledRuns) const -> void;
  /// Returns whether the start of \p LiveRun is still not confirmed long after
  /// at least half of the gang has started.
  auto isStartOverdue(const Run &LiveRun, const Gang &Members) const -> bool;
  /// Returns whether reports show that \p LiveRun makes no progress while the
  /// other members, which do the same work, do.
  auto lagsBehindGang(const Run &LiveRun, const Gang &Members) const -> bool;
  auto isReachable(const Run &LiveRun) const -> bool;
  /// Returns the expected time until the run ends.
  auto expectedRemainingTime(const Run &LiveRun) const -> Milliseconds;

  ShardScheduler &Scheduler;
  TimePoint Now;
};

} // namespace jayramp::scheduling
