#pragma once

#include "Base/Clock.h"
#include "Scheduling/RunId.h"
#include "Scheduling/TaskGroup.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace jayramp::scheduling {

class CandidateWorkers;
class PreemptionCandidates;
class ShardScheduler;
struct PreemptionCandidate;
struct Resources;

/// The workers that a task group, or a part of it, is placed on.
struct Layout {
  /// Position in CandidateWorkers, and number of tasks on that worker.
  std::vector<std::pair<std::size_t, std::uint32_t>> TaskCounts;
  std::uint32_t TaskCount = 0; ///< Number of tasks on all workers.
  std::set<RunId> Victims;     ///< Runs that must be stopped first.
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

/// Finds workers for task groups. Changes nothing: PlacementPass carries the
/// layouts out.
class LayoutSearch {
public:
  LayoutSearch(const ShardScheduler &Scheduler, const CandidateWorkers &Workers,
               const PreemptionCandidates &PreemptableRuns, TimePoint Now)
      : Scheduler(Scheduler), Workers(Workers),
        PreemptableRuns(PreemptableRuns), Now(Now) {}

  /// Returns the layout of least cost, or none if the group does not fit.
  auto cheapestLayout(const TaskGroup &Group, ResourceSource Source) const
      -> std::optional<Layout>;
  /// Returns the sets of workers in \p Speeds that may each hold the group, by
  /// position: one set for each rack if the group must stay in one rack, else a
  /// single set.
  auto eligibleWorkerSets(const SpeedRange &Speeds,
                          const TaskGroup &Group) const
      -> std::vector<std::vector<std::size_t>>;
  /// Returns how many tasks like those of the group fit into the resources that
  /// are available now, regardless of racks.
  auto roomFor(const TaskGroup &Group) const -> std::uint32_t;
  /// Returns whether the workers that the group may use, or those of one rack
  /// if it stays in one, could hold it if they were empty.
  auto fitsWhenEmpty(const TaskGroup &Group) const -> bool;
  /// Returns whether the job is within the guarantee of its client account and
  /// has waited long enough to preempt equally urgent jobs without a guarantee.
  auto reclaimsGuarantee(const TaskGroup &Group) const -> bool;

private:
  /// A worker that could take one more task of a group.
  struct VictimChoice {
    double Cost = 0; ///< Core-seconds of work that are lost with the victims.
    std::size_t Position = 0;
    std::vector<RunId> Victims;
  };

  /// Returns the layout of least cost on workers in \p Speeds, or none.
  auto cheapestLayoutWithin(const SpeedRange &Speeds, const TaskGroup &Group,
                            ResourceSource Source) const
      -> std::optional<Layout>;
  auto racksThatMayHold(const SpeedRange &Speeds, const TaskGroup &Gang) const
      -> std::vector<std::vector<std::size_t>>;
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
  auto mayPreempt(const TaskGroup &Group,
                  const PreemptionCandidate &Candidate) const -> bool;

  const ShardScheduler &Scheduler;
  const CandidateWorkers &Workers;
  const PreemptionCandidates &PreemptableRuns;
  TimePoint Now;
};

} // namespace jayramp::scheduling
