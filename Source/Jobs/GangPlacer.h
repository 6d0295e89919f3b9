#pragma once

#include "Base/Clock.h"
#include "Jobs/BlockFinder.h"

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace jayramp {

struct JobRecord;
struct SchedulerState;

/// Places pending jobs on accelerators in queue order. An instance serves a
/// single scheduling decision.
class GangPlacer {
public:
  GangPlacer(SchedulerState &State, TimePoint Now);

  /// Starts jobs whose reserved accelerators have become free, and cancels
  /// reservations on workers that can no longer be used.
  auto startReservedJobs() -> void;

  /// Places pending jobs: urgent jobs first, then jobs within the guarantee of
  /// their account, then the others in the order of submission.
  auto placeWaitingJobs() -> void;

private:
  /// Which stopping gangs have their accelerators treated as free.
  enum class StoppingGangs { None, Reclaimed, All };

  /// Accelerators chosen for a job, with the guaranteed shape of each.
  struct Choice {
    std::vector<std::uint32_t> Accelerators;
    std::vector<std::int32_t> ShapeIds;
  };

  /// Places the job within its account's guarantee. Returns true if it was
  /// placed.
  auto placeGuaranteed(JobRecord &Job) -> bool;
  /// Places the job outside of any guarantee. Returns true if it was placed;
  /// otherwise records in the job why it waits.
  auto placeSurplus(JobRecord &Job) -> bool;
  /// Chooses accelerators in shapes of the job's account that have free ones
  /// and records them in the plan. On failure the caller must restore the plan.
  auto chooseFromGuarantee(const JobRecord &Job,
                           BlockFinder::Occupancy CurrentOccupancy)
      -> std::optional<Choice>;
  /// Chooses accelerators in the shape's block; moves the block first to a
  /// better location if the shape is unused.
  auto chooseFromShape(std::int32_t ShapeId, std::uint32_t Count, bool Adjacent,
                       const BlockFinder::Occupancy &CurrentOccupancy)
      -> std::optional<std::vector<std::uint32_t>>;
  /// Returns an occupancy in which all surplus gangs may be stopped.
  auto occupancyForGuaranteed(StoppingGangs CountedAsFree) const
      -> BlockFinder::Occupancy;
  /// Returns an occupancy in which only the gangs that the job may reclaim can
  /// be stopped.
  auto occupancyForSurplus(const JobRecord &Job, bool IsHeadOfQueue) const
      -> BlockFinder::Occupancy;
  auto excludeFailedWorkers(const JobRecord &Job,
                            BlockFinder::Occupancy &CurrentOccupancy) const
      -> void;
  /// Returns the number of running gangs that the choice stops.
  auto victimCount(const Choice &Chosen) const -> std::size_t;

  SchedulerState &State;
  TimePoint Now;
  BlockFinder Finder;
  bool AnyGangStopping = false; ///< Some gang is being stopped.
  /// A job that could not be placed was found; it is the head of the queue.
  bool HeadOfQueueSeen = false;
  /// Pairs of gang size and adjacency that could not be placed in this
  /// decision.
  std::set<std::pair<std::uint32_t, bool>> UnplaceableRequests;
};

} // namespace jayramp
