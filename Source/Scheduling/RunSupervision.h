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

/// One pass over the live runs of a shard: stops those that would gain by a
/// start elsewhere. Used by ShardScheduler::schedule().
class RunSupervision {
public:
  RunSupervision(ShardScheduler &Scheduler, TimePoint Now);

  /// Stops runs that make no progress; their workers get no tasks for a while.
  auto stopStalledRuns() -> void;
  /// Stops runs that would not end before their worker leaves.
  auto evacuateLeavingWorkers() -> void;

private:
  /// The members of one run of a gang.
  using Gang = std::vector<const Run *>;
  /// Stops the other members, if the run is one of a gang.
  auto breakGangOf(const RunId &Id) -> void;
  /// No progress for long, whatever other runs do.
  auto isStalled(const Run &Alive, const JobEntry &Job) const -> bool;
  auto collectStalledMembers(const Gang &Members,
                             std::vector<RunId> &Stalled) const -> void;
  /// Whether a start is not confirmed although most others long are, so that
  /// the gang waits for it.
  auto isMissing(const Run &Alive, const Gang &Members) const -> bool;
  /// Whether listings show that \p Alive stands still while the other members,
  /// which run the same work, go on.
  auto standsStillBeside(const Run &Alive, const Gang &Members) const -> bool;
  auto isReachable(const Run &Alive) const -> bool;
  /// Expected time until the run ends.
  auto expectedRest(const Run &Alive, const JobEntry &Job) const
      -> Milliseconds;

  ShardScheduler &Scheduler;
  TimePoint Now;
};

} // namespace jayramp::scheduling
