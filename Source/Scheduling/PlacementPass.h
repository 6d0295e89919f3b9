#pragma once

#include "Base/Clock.h"
#include "Scheduling/CandidateWorkers.h"
#include "Scheduling/GangRoom.h"
#include "Scheduling/LayoutSearch.h"
#include "Scheduling/PlacementFailureCache.h"
#include "Scheduling/PreemptionCandidates.h"
#include "Scheduling/SchedulingDecisions.h"
#include "Scheduling/SpeedPreference.h"
#include "Scheduling/TaskGroup.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jayramp::scheduling {

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
  /// Makes quarantined workers candidates if a group may use them.
  auto addQuarantined(const std::vector<TaskGroup> &Groups) -> void;
  /// Has tasks that may run anywhere leave workers to groups that may run only
  /// on workers with a label, as far as there are others.
  auto markWanted(const std::vector<TaskGroup> &Groups) -> void;
  /// Returns whether the group has waited long beside an idle pool.
  auto waitsBesideIdlePool(const TaskGroup &Group) -> bool;
  /// Holds the room that is gathered for gangs against \p Next and the groups
  /// after it. Places the gangs that fit.
  auto holdGangRoom(const TaskGroup &Next, std::vector<TaskGroup> &Groups)
      -> void;
  /// Tries to place the gang, or else holds its room.
  auto placeOrHold(const GangRoom::Gathering &Target,
                   std::vector<TaskGroup> &Groups) -> void;
  /// Decides for which gangs room is held until the next pass.
  auto updateGangRoom(const std::vector<TaskGroup> &Groups) -> void;
  auto placeGang(TaskGroup &Gang) -> void;
  /// Places as many tasks of the group as fit.
  auto placeTasks(TaskGroup &Group) -> void;
  /// Places an urgent group, or stops less urgent runs for it, only on workers
  /// on which it ends in time. Returns whether the group needs no further
  /// attempt in this pass: it fits, or it waits for such workers.
  auto placeInTime(TaskGroup &Group) -> bool;
  /// Returns whether some workers, but not all, are fast enough for the urgent
  /// group, and it may still wait for them.
  auto isWorthWaitingForSpeed(const TaskGroup &Group) const -> bool;
  /// Stops runs for as many of \p Count single tasks as possible. Returns how
  /// many.
  auto placeTasksAfterStops(TaskGroup &Group, std::uint32_t Count)
      -> std::uint32_t;
  /// Finds out which workers the reserve covers.
  auto updateReserveSpeeds() -> void;
  auto speedClassOf(const WorkerEntry &Worker) const -> SpeedClass;
  auto speedChoice(const TaskGroup &Group, SpeedClass Slowest) const
      -> std::optional<SpeedChoice>;
  /// Reports what groups wait for, at intervals.
  auto diagnoseWaits(const std::vector<TaskGroup> &Groups) -> void;
  /// A part of the pool, and how many tasks of a group it may take.
  struct PoolShare {
    SpeedRange Speeds;
    std::uint32_t MaxTasks = 0;
  };

  /// Returns what the group may use, in the order of preference, without the
  /// accelerators that are reserved for urgent arrivals.
  auto sharesOutsideReserve(const TaskGroup &Group) const
      -> std::vector<PoolShare>;
  /// Places the gang in the first of \p Shares that can hold it.
  auto placeGangIn(const std::vector<PoolShare> &Shares, TaskGroup &Gang)
      -> bool;
  auto mayUseReserve(const TaskGroup &Group) const -> bool;
  /// Returns whether the group runs slowly if it is spread over racks.
  static auto prefersSingleRack(const TaskGroup &Group) -> bool;
  /// Returns whether a group that prefers a single rack should wait for room in
  /// one. Bounded for every group.
  auto mustStayInRack(const TaskGroup &Group) -> bool;
  /// Returns the share of the pool that was in use at the first call.
  auto poolUseOf(const TaskGroup &Group) -> double;
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
  /// Workers that take tasks but for a quarantine, with their speeds.
  std::vector<std::pair<WorkerEntry *, SpeedClass>> Quarantined;
  bool UsesQuarantined = false; ///< They are candidates in this pass.
  /// Gatherings whose room is not held yet in this pass.
  std::vector<GangRoom::Gathering> PendingGatherings;
  double PoolCoreEquivalents = 0; ///< Capacity of the registered workers.
  /// Share of the pool in use; computed at the first need.
  std::optional<double> PoolUse;
  bool SpeedsKnown = false; ///< Workers are known to differ in speed.
  /// Workers on which less urgent jobs leave ReservedGpus free.
  SpeedRange ReserveSpeeds;
  /// Number of accelerators that less urgent jobs leave free.
  std::int64_t ReservedGpus = 0;
  unsigned PreemptionSearches = 0; ///< Searches for runs to stop so far.
};

} // namespace jayramp::scheduling
