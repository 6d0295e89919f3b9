#pragma once

#include "Base/Clock.h"
#include "Scheduling/CandidateWorkers.h"
#include "Scheduling/LayoutSearch.h"
#include "Scheduling/PlacementFailureCache.h"
#include "Scheduling/PreemptionCandidates.h"
#include "Scheduling/TaskGroup.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jayramp::scheduling {

class JobEntry;
class ShardScheduler;

/// One pass over the waiting tasks of a shard: places the tasks that fit and
/// preempts runs for jobs of the most urgent priority. Used by
/// ShardScheduler::schedule().
class PlacementPass {
public:
  PlacementPass(ShardScheduler &Scheduler, TimePoint Now);

  auto run() -> void;

private:
  auto collectCandidates() -> void;
  auto collectTaskGroups() -> std::vector<TaskGroup>;
  auto addTaskGroups(JobEntry &Job, Lateness JobLateness,
                     std::vector<TaskGroup> &Groups) -> void;
  auto latenessOf(const JobEntry &Job) const -> Lateness;
  auto placeGang(TaskGroup &Gang) -> void;
  /// Places as many tasks of the group as fit.
  auto placeTasks(TaskGroup &Group) -> void;
  /// Reports what groups wait for, at intervals.
  auto diagnoseWaits(const std::vector<TaskGroup> &Groups) -> void;
  /// Returns how many tasks of the group may be placed without using the
  /// accelerators that are reserved for urgent arrivals.
  auto tasksOutsideReserve(const TaskGroup &Group) const -> std::uint32_t;
  auto mayUseReserve(const TaskGroup &Group) const -> bool;
  /// Returns whether the group runs slowly if it is spread over racks.
  static auto prefersSingleRack(const TaskGroup &Group) -> bool;
  /// Returns whether a group that prefers a single rack should wait for room in
  /// one. Bounded for every group.
  auto mustStayInRack(const TaskGroup &Group) -> bool;
  /// Returns whether the group can be spread over racks without taking room
  /// that others need: it holds its resources for longer then.
  auto isPoolIdleFor(const TaskGroup &Group) -> bool;
  /// Returns the layout of least cost if it is within \p Budget. Does not
  /// search if \p KnownFailures shows that there is none; adds a new failure to
  /// it. \p Shape is the shape of \p Group.
  auto findLayout(const TaskGroup &Group, const TaskGroupShape &Shape,
                  ResourceSource Source, PlacementFailureCache &KnownFailures,
                  double Budget = PlacementFailureCache::UnlimitedBudget) const
      -> std::optional<Layout>;
  auto shapeOf(const TaskGroup &Group) const -> TaskGroupShape;
  /// Starts the group on free resources: a gang as a whole, other tasks as far
  /// as they fit. Returns the number of tasks that were placed.
  auto placeNow(const TaskGroup &Group, const TaskGroupShape &Shape)
      -> std::uint32_t;
  /// Waits for stopping runs, or stops further ones, for the group. Returns
  /// whether it fits.
  auto placeAfterStops(const TaskGroup &Group, const TaskGroupShape &Shape)
      -> bool;
  /// Reserves resources of stopping runs for the group, which a later pass
  /// places. Returns whether the group fits.
  auto reserveFreeAfterStops(const TaskGroup &Group,
                             const TaskGroupShape &Shape) -> bool;
  /// Stops runs for the group and reserves their resources for it. Returns
  /// whether the group fits within its preemption budget.
  auto preempt(const TaskGroup &Group, const TaskGroupShape &Shape) -> bool;
  auto assignLayout(const TaskGroup &Group, const Layout &ChosenLayout) -> void;
  auto reserveLayout(const TaskGroup &Group, const Layout &ChosenLayout)
      -> void;
  auto collectPreemptableRuns() -> void;
  /// Returns how many core-seconds of work may be lost by preemption for the
  /// group.
  auto preemptionBudget(const TaskGroup &Group) const -> double;

  ShardScheduler &Scheduler;
  TimePoint Now;
  CandidateWorkers Candidates;
  PreemptionCandidates PreemptableRuns;
  LayoutSearch Search;
  PlacementFailureCache FreeFailures;
  PlacementFailureCache FreeAfterStopsFailures;
  /// Failures to preempt only less urgent runs.
  PlacementFailureCache PreemptionFailures;
  /// Failures to preempt equally urgent runs as well, for a guarantee.
  PlacementFailureCache ReclaimFailures;
  /// Share of the pool in use; computed at the first need.
  std::optional<double> PoolUse;
  /// Number of accelerators that less urgent jobs leave free.
  std::int64_t ReservedGpus = 0;
  unsigned PreemptionSearches = 0; ///< Searches for runs to stop so far.
};

} // namespace jayramp::scheduling
