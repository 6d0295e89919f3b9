#pragma once

#include "Base/Clock.h"
#include "Scheduling/PlacementFailureCache.h"
#include "Scheduling/PreemptionCandidates.h"
#include "Scheduling/Resources.h"
#include "Scheduling/RunId.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jayramp::scheduling {

class JobEntry;
class ShardScheduler;
struct Run;
struct StepSpec;
struct WorkerEntry;

/// One pass over the waiting tasks of a shard: places the tasks that fit and
/// preempts runs for jobs of the most urgent priority. Used by
/// ShardScheduler::schedule().
class PlacementPass {
public:
  PlacementPass(ShardScheduler &Scheduler, TimePoint Now);

  auto run() -> void;

private:
  /// How a job stands to its latency objective. Jobs of equal priority are
  /// placed in this order.
  enum class Lateness {
    OnTime,  ///< The job can still meet the objective.
    Late,    ///< The job will miss the objective.
    TooLate, ///< The result has no value for the client any more.
  };

  /// Tasks with equal requirements that wait: all tasks of a gang, which are
  /// placed together, or tasks of a step that are placed one by one.
  struct TaskGroup {
    JobEntry *Job = nullptr;
    std::uint32_t Step = 0;
    std::uint32_t TaskCount = 1;
    Lateness JobLateness = Lateness::OnTime;

    auto spec() const -> const StepSpec &;
  };

  /// A worker that may take tasks in this pass.
  struct CandidateWorker {
    WorkerEntry *Worker = nullptr;
    Resources Free; ///< Available now.
    /// Available once the stopping runs have ended, minus the resources that
    /// are reserved for waiting task groups.
    Resources FreeAfterStops;
  };

  /// The workers that a task group, or a part of it, is placed on.
  struct Layout {
    /// Index into Candidates, and number of tasks on that worker.
    std::vector<std::pair<std::size_t, std::uint32_t>> TaskCounts;
    std::uint32_t TaskCount = 0; ///< Number of tasks on all workers.
    std::set<RunId> Victims;     ///< Runs that must be stopped first.
    /// Core-seconds of work that are lost with the victims; without victims, a
    /// penalty that ranks layouts.
    double Cost = 0;
  };

  /// A worker that could take one more task of a group.
  struct VictimChoice {
    double Cost = 0; ///< Core-seconds of work that are lost with the victims.
    std::size_t Position = 0;
    std::vector<RunId> Victims;
  };

  /// The resources that a layout may use.
  enum class ResourceSource {
    Free,           ///< Available now.
    FreeAfterStops, ///< Available once the stopping runs have ended.
    WithVictims,    ///< Also those of runs that would have to be stopped.
  };

  auto collectCandidates() -> void;
  auto collectTaskGroups() -> std::vector<TaskGroup>;
  auto addTaskGroups(JobEntry &Job, Lateness JobLateness,
                     std::vector<TaskGroup> &Groups) -> void;
  auto latenessOf(const JobEntry &Job) const -> Lateness;
  auto placeGang(const TaskGroup &Gang) -> void;
  /// Places as many tasks of the group as fit.
  auto placeTasks(TaskGroup Group) -> void;
  /// Returns how many tasks of the group may be placed without using the
  /// accelerators that are reserved for urgent arrivals.
  auto tasksOutsideReserve(const TaskGroup &Group) const -> std::uint32_t;
  auto mayUseReserve(const TaskGroup &Group) const -> bool;
  /// Returns the layout of least cost, or none if the group does not fit.
  auto cheapestLayout(const TaskGroup &Group, ResourceSource Source) const
      -> std::optional<Layout>;
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

  /// Returns the sets of workers that may each hold the group, as indices into
  /// Candidates: one set for each rack if the group must stay in one rack, else
  /// a single set.
  auto eligibleWorkerSets(const TaskGroup &Group) const
      -> std::vector<std::vector<std::size_t>>;
  auto racksThatMayHold(const TaskGroup &Gang) const
      -> std::vector<std::vector<std::size_t>>;
  auto mayRunOn(const TaskGroup &Group, const CandidateWorker &Candidate) const
      -> bool;
  /// Returns how many more tasks of the group the per-worker limit allows on
  /// \p Candidate.
  auto remainingWorkerLimit(const TaskGroup &Group,
                            const CandidateWorker &Candidate) const
      -> std::uint32_t;
  auto mustStayInRack(const TaskGroup &Group) const -> bool;
  /// Returns a layout on the workers of \p WorkerSet that stops no runs.
  auto layoutWithoutVictims(const TaskGroup &Group,
                            const std::vector<std::size_t> &WorkerSet,
                            bool IncludeStoppingRuns) const
      -> std::optional<Layout>;
  /// Returns a layout on the workers of \p WorkerSet that may stop runs.
  auto layoutWithVictims(const TaskGroup &Group,
                         const std::vector<std::size_t> &WorkerSet) const
      -> std::optional<Layout>;
  /// Returns the cheapest way to take one more task of the group on the worker
  /// at \p Position, of which \p Available is free; none if it cannot.
  auto victimChoice(const TaskGroup &Group, std::size_t Position,
                    Resources Available, std::uint32_t PlacedCount,
                    const std::set<RunId> &ChosenVictims) const
      -> std::optional<VictimChoice>;
  /// Returns the index into Candidates of the worker of a run; none if the
  /// worker takes no tasks in this pass.
  auto positionOf(const Run &LiveRun) const -> std::optional<std::size_t>;
  auto collectPreemptableRuns() -> void;
  /// Returns how many core-seconds of work may be lost by preemption for the
  /// group.
  auto preemptionBudget(const TaskGroup &Group) const -> double;
  /// Returns whether the job is within the guarantee of its client account and
  /// has waited long enough to preempt equally urgent jobs without a guarantee.
  auto reclaimsGuarantee(const TaskGroup &Group) const -> bool;
  auto mayPreempt(const TaskGroup &Group,
                  const PreemptionCandidate &Candidate) const -> bool;

  ShardScheduler &Scheduler;
  TimePoint Now;
  std::vector<CandidateWorker> Candidates;
  /// Index into Candidates by worker; filled with PreemptableRuns.
  std::unordered_map<std::string_view, std::size_t> PositionByWorker;
  std::vector<std::int64_t> RackFreeGpus; ///< Free accelerators by rack.
  std::int64_t FreeGpus = 0;              ///< Free accelerators of all workers.
  PlacementFailureCache FreeFailures;
  PlacementFailureCache FreeAfterStopsFailures;
  /// Failures to preempt only less urgent runs.
  PlacementFailureCache PreemptionFailures;
  /// Failures to preempt equally urgent runs as well, for a guarantee.
  PlacementFailureCache ReclaimFailures;
  PreemptionCandidates PreemptableRuns;
  /// Number of accelerators that less urgent jobs leave free.
  std::int64_t ReservedGpus = 0;
  unsigned PreemptionSearches = 0; ///< Searches for runs to stop so far.
};

} // namespace jayramp::scheduling
