#pragma once

#include "Jobs/SchedulerPolicy.h"
#include "Jobs/Topology.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jayramp {

/// Finds blocks of accelerators for gangs. A claim for each accelerator says
/// whether it is free, cannot be used, or is held by a gang that may be
/// stopped; such a claim is the start sequence of that gang.
class BlockFinder {
public:
  static constexpr std::int64_t Free = -1;
  static constexpr std::int64_t Unavailable = -2;

  using Occupancy = std::vector<std::int64_t>;

  struct Request {
    std::uint32_t Size = 1;
    bool Adjacent = true;
    /// Accelerators that the block must contain; their claims must be Free.
    std::vector<std::uint32_t> Include;
  };

  struct Block {
    std::vector<std::uint32_t> Accelerators; ///< Sorted.
    std::vector<std::int64_t> Victims;       ///< Claims of gangs to stop.

    auto operator==(const Block &) const -> bool = default;
  };

  static auto make(const Topology &Installed, PlacementRule Rule)
      -> BlockFinder;

  /// At most \p Limit blocks in different places, best first: fewest stopped
  /// gangs, then the youngest, then the least remaining space.
  auto findCandidates(const Request &Wanted, const Occupancy &Current,
                      std::size_t Limit) const -> std::vector<Block>;

  auto findBest(const Request &Wanted, const Occupancy &Current) const
      -> std::optional<Block>;

  /// Largest size up to \p Limit of an adjacent block of free accelerators.
  auto largestFreeBlockSize(const Occupancy &Current, std::uint32_t Limit) const
      -> std::uint32_t;

private:
  struct Candidate;

  BlockFinder(const Topology &Installed, PlacementRule Rule)
      : Installed(&Installed), Rule(Rule) {}

  auto choose(const Request &Wanted, const Occupancy &Current,
              const Topology::Range &Range,
              const std::vector<std::int64_t> &Victims,
              const std::vector<std::int64_t> &Nearby) const -> Block;

  const Topology *Installed;
  PlacementRule Rule;
};

} // namespace jayramp
