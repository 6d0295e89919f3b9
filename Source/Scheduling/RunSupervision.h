#pragma once

#include "Base/Clock.h"
#include "Scheduling/RunId.h"
#include "Scheduling/SchedulingDecisions.h"

#include <cstdint>
#include <map>
#include <vector>

namespace jayramp::scheduling {

class ShardScheduler;
struct JobEntry;
struct Run;

/// One pass over the live runs of a shard that stops runs which would end
/// earlier if they were restarted on another worker. Used by
/// ShardScheduler::schedule().
class RunSupervision {
public:
  RunSupervision(ShardScheduler &Scheduler, TimePoint Now);

  /// Stops runs that make no progress and quarantines their workers.
  auto stopStalledRuns() -> void;
  /// Stops runs that are not expected to end before their worker leaves.
  auto evacuateLeavingWorkers() -> void;

private:
  /// The live members of one run of a gang.
  using Gang = std::vector<const Run *>;
  /// Stops the other members if \p Id belongs to a gang.
  auto stopRestOfGang(const RunId &Id) -> void;
  /// Returns whether a run has made no progress for the stall timeout. Does not
  /// compare it with other runs.
  auto isStalled(const Run &LiveRun, const JobEntry &Job) const -> bool;
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
  auto expectedRemainingTime(const Run &LiveRun, const JobEntry &Job) const
      -> Milliseconds;

  ShardScheduler &Scheduler;
  TimePoint Now;
};

} // namespace jayramp::scheduling
