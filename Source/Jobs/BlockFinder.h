#pragma once

#include "Jobs/SchedulerPolicy.h"
#include "Jobs/Topology.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jayramp {

/// Finds blocks of accelerators for gangs. The occupancy has one entry for each
/// accelerator: Free, Unavailable, or the start sequence number of the gang
/// that holds it and may be stopped.
class BlockFinder {
public:
  static constexpr std::int64_t Free = -1;
  static constexpr std::int64_t Unavailable = -2;

  using Occupancy = std::vector<std::int64_t>;

  /// Block that a gang needs.
  struct Request {
    std::uint32_t Size = 1;
    bool Adjacent = true;
    /// Accelerators that the block must contain; their occupancy must be Free.
    std::vector<std::uint32_t> Required;
  };

  /// Block that can be assigned once its victims have been stopped.
  struct Block {
    std::vector<std::uint32_t> Accelerators; ///< Sorted.
    /// Start sequence numbers of the gangs to stop.
    std::vector<std::int64_t> Victims;

    auto operator==(const Block &) const -> bool = default;
  };

  static auto make(const Topology &Cluster, PlacementRule Rule) -> BlockFinder;

  /// Returns at most \p Limit blocks in different ranges of the topology, best
  /// first. The order is: fewest gangs to stop, then the youngest ones, then
  /// the fewest free accelerators in the neighbouring racks, in the rack and in
  /// the range.
  auto findCandidates(const Request &BlockRequest,
                      const Occupancy &CurrentOccupancy,
                      std::size_t Limit) const -> std::vector<Block>;

  /// Returns the best block, or nullopt if none fits.
  auto findBest(const Request &BlockRequest,
                const Occupancy &CurrentOccupancy) const
      -> std::optional<Block>;

  /// Returns the size, at most \p Limit, of the largest adjacent block of free
  /// accelerators; 0 if none is free.
  auto largestFreeBlockSize(const Occupancy &CurrentOccupancy,
                            std::uint32_t Limit) const -> std::uint32_t;

private:
  struct Candidate;

  BlockFinder(const Topology &Cluster, PlacementRule Rule)
      : Cluster(&Cluster), Rule(Rule) {}

  /// Chooses the accelerators of the block within the range.
  auto chooseAccelerators(
      const Request &BlockRequest, const Occupancy &CurrentOccupancy,
      const Topology::Range &SearchRange,
      const std::vector<std::int64_t> &Victims,
      const std::vector<std::int64_t> &FreeInNeighbourhood) const -> Block;

  const Topology *Cluster;
  PlacementRule Rule;
};

} // namespace jayramp
