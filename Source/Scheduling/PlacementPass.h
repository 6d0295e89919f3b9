#pragma once

#include "Base/Clock.h"
#include "Scheduling/PlacementFailureCache.h"
#include "Scheduling/PreemptionCandidates.h"
#include "Scheduling/Resources.h"
#include "Scheduling/RunId.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jayramp::scheduling {

class ShardScheduler;
struct JobEntry;
struct JobSpec;
struct WorkerEntry;
struct StepSpec;

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

  /// Tasks that are placed together: all tasks of a gang, or a single task.
  struct TaskGroup {
    JobEntry *Job = nullptr;
    std::uint32_t Step = 0;
    std::uint32_t FirstIndex = 0; ///< Index of the first task in its step.
    std::uint32_t TaskCount = 1;  ///< Number of tasks; indices are consecutive.
    std::uint32_t RunNumber = 0;
    Lateness JobLateness = Lateness::OnTime;

    auto spec() const -> const StepSpec &;
  };

  /// A worker that may take tasks in this pass.
  struct CandidateWorker {
    WorkerEntry *Worker = nullptr;
    std::size_t Rack = 0; ///< Index into RackFreeGpus.
    Resources Free;       ///< Available now.
    /// Available once the stopping runs have ended, minus the resources that
    /// are reserved for waiting task groups.
    Resources FreeAfterStops;
  };

  /// The workers that a task group is placed on.
  struct Layout {
    /// Index into Candidates, and number of tasks on that worker.
    std::vector<std::pair<std::size_t, std::uint32_t>> TaskCounts;
    std::set<RunId> Victims; ///< Runs that must be stopped first.
    /// Core-seconds of work that are lost with the victims; without victims, a
    /// penalty that ranks layouts.
    double Cost = 0;
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
  /// Returns the latency objective of a job in seconds.
  static auto latencyObjective(const JobSpec &Spec) -> double;
  auto place(const TaskGroup &Group) -> bool;
  /// Returns whether the group must not be placed because it would use the
  /// accelerators that are reserved for urgent arrivals.
  auto isBlockedByReserve(const TaskGroup &Group) const -> bool;
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
  /// Starts the group on free resources. Returns whether it fits.
  auto placeNow(const TaskGroup &Group, const TaskGroupShape &Shape) -> bool;
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

  /// Returns the sets of workers that may each hold the whole group, as indices
  /// into Candidates: one set for each rack if the group must stay in one rack,
  /// else a single set.
  auto eligibleWorkerSets(const TaskGroup &Group) const
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
};

} // namespace jayramp::scheduling
