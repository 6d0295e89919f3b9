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

/// One pass over the waiting tasks of a shard: places what fits and makes room
/// for the most urgent work. Used by ShardScheduler::schedule().
class PlacementPass {
public:
  PlacementPass(ShardScheduler &Scheduler, TimePoint Now);

  auto run() -> void;

private:
  /// Tasks that are placed together: a gang, or one task.
  struct Unit {
    JobEntry *Job = nullptr;
    std::uint32_t Step = 0;
    std::uint32_t First = 0; ///< Index of the first task.
    std::uint32_t Count = 1; ///< Tasks, with consecutive indices.
    std::uint32_t RunNumber = 0;
    /// 0: can meet its objective, 1: late but worth something, 2: too late.
    int Lateness = 0;

    auto spec() const -> const StepSpec &;
  };

  /// A worker that may take tasks in this pass.
  struct Slot {
    WorkerEntry *Worker = nullptr;
    std::size_t Rack = 0; ///< Index in RackFreeGpus.
    Resources Free;       ///< Available now.
    Resources Soon;       ///< Also what stopping runs will free, less claims.
  };

  /// Workers, by slot, that take so many members each.
  struct Layout {
    std::vector<std::pair<std::size_t, std::uint32_t>> Parts;
    std::set<RunId> Victims; ///< Runs to stop first.
    double Cost = 0;         ///< Core-seconds of work lost with the victims.
  };

  /// Where the room for a layout comes from.
  enum class Room { Now, Soon, WithVictims };

  auto collectSlots() -> void;
  auto collectUnits() -> std::vector<Unit>;
  auto addUnits(JobEntry &Job, int Lateness, std::vector<Unit> &Units) -> void;
  auto latenessOf(const JobEntry &Job) const -> int;
  /// Time within which the job is worth most, in seconds.
  static auto objectiveOf(const JobSpec &Spec) -> double;
  auto placeUnit(const Unit &Waiting) -> bool;
  /// Whether the unit has to leave the reserve for urgent arrivals alone.
  auto waitsForReserve(const Unit &Waiting) const -> bool;
  /// The layout of least cost among the groups that may hold the unit.
  auto cheapestLayout(const Unit &Waiting, Room Source) const
      -> std::optional<Layout>;
  /// The same within \p Budget, unless \p Failed rules it out; a failure is
  /// added to it. \p Shape is the unit's.
  auto layoutUnlessFailed(const Unit &Waiting, const TaskGroupShape &Shape,
                          Room Source, PlacementFailureCache &Failed,
                          double Budget = PlacementFailureCache::AnyCost) const
      -> std::optional<Layout>;
  auto shapeOf(const Unit &Waiting) const -> TaskGroupShape;
  auto placeNow(const Unit &Waiting, const TaskGroupShape &Shape) -> bool;
  auto claimSoon(const Unit &Waiting, const TaskGroupShape &Shape) -> bool;
  auto preempt(const Unit &Waiting, const TaskGroupShape &Shape) -> bool;
  auto assignLayout(const Unit &Waiting, const Layout &Chosen) -> void;
  auto claimLayout(const Unit &Waiting, const Layout &Chosen) -> void;

  /// Slots that may run the unit at all, grouped by rack if it must stay in
  /// one, else in one group.
  auto groupsFor(const Unit &Waiting) const
      -> std::vector<std::vector<std::size_t>>;
  auto mayRunOn(const Unit &Waiting, const Slot &Candidate) const -> bool;
  auto limitOn(const Unit &Waiting, const Slot &Candidate) const
      -> std::uint32_t;
  auto mustStayInRack(const Unit &Waiting) const -> bool;
  auto layoutWithin(const Unit &Waiting, const std::vector<std::size_t> &Group,
                    bool UseSoon) const -> std::optional<Layout>;
  auto layoutWithVictims(const Unit &Waiting,
                         const std::vector<std::size_t> &Group) const
      -> std::optional<Layout>;
  /// Core-seconds of others' work that may be lost for the unit.
  auto lossBudget(const Unit &Waiting) const -> double;
  /// Whether the guarantee of its client account has waited long enough to
  /// stop equally urgent work of others.
  auto reclaims(const Unit &Waiting) const -> bool;
  auto mayBeStoppedFor(const Unit &Waiting,
                       const PreemptionCandidate &Candidate) const -> bool;

  ShardScheduler &Scheduler;
  TimePoint Now;
  std::vector<Slot> Slots;
  std::vector<std::int64_t> RackFreeGpus; ///< By rack, in this pass.
  std::int64_t FreeGpus = 0;              ///< Of all slots, in this pass.
  PlacementFailureCache FailedNow;
  PlacementFailureCache FailedSoon;
  /// With victims: of units that may stop only less urgent work, and of those
  /// that reclaim a guarantee.
  PlacementFailureCache FailedUrgent;
  PlacementFailureCache FailedReclaim;
  PreemptionCandidates Stoppable;
  std::int64_t ReservedGpus = 0; ///< Less urgent work leaves so many free.
};

} // namespace jayramp::scheduling
