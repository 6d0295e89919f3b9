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

/// Gives places to waiting jobs, in the order of the queue. Used for one
/// decision and then dropped.
class GangPlacer {
public:
  GangPlacer(SchedulerState &State, TimePoint Now);

  /// Starts jobs whose reserved places are free by now, and gives up
  /// reservations on workers that can no longer be used.
  auto startReserved() -> void;

  /// Urgent jobs first, then jobs within their guarantee, then the rest in the
  /// order of submission.
  auto placeWaiting() -> void;

private:
  /// Stopping gangs whose places count as free.
  enum class Stopping { None, Reclaimed, All };

  struct Choice {
    std::vector<std::uint32_t> Accelerators;
    std::vector<std::int32_t> Units;
  };

  auto placeGuaranteed(JobRecord &Job) -> bool;
  auto placeSurplus(JobRecord &Job) -> bool;
  auto chooseInShapes(const JobRecord &Job, BlockFinder::Occupancy Current)
      -> std::optional<Choice>;
  auto takeFromShape(std::int32_t Unit, std::uint32_t Count, bool Adjacent,
                     const BlockFinder::Occupancy &Current)
      -> std::optional<std::vector<std::uint32_t>>;
  auto guaranteedClaims(Stopping Included) const -> BlockFinder::Occupancy;
  auto surplusClaims(const JobRecord &Job, bool Head) const
      -> BlockFinder::Occupancy;
  auto excludeFailedWorkers(const JobRecord &Job,
                            BlockFinder::Occupancy &Current) const -> void;
  auto victims(const Choice &Chosen) const -> std::size_t;

  SchedulerState &State;
  TimePoint Now;
  BlockFinder Finder;
  bool AnyStopping = false; ///< Places of stopping gangs may be waited for.
  bool HeadPassed = false;  ///< The first blocked job has been seen.
  /// Size and adjacency that found no place in this decision.
  std::set<std::pair<std::uint32_t, bool>> Blocked;
};

} // namespace jayramp
