#pragma once

#include <cstdint>

namespace jayramp {

/// A level of the topology within which a gang or shape is placed.
struct TopologyDomain {
  /// NeighbouringRacks is a run of neighbouring racks in one availability zone.
  enum class Level { Worker, Rack, NeighbouringRacks, WholeTopology };

  Level Kind = Level::Worker;
  std::uint32_t RackCount = 1; ///< Racks in the run for NeighbouringRacks.

  auto operator==(const TopologyDomain &) const -> bool = default;
};

} // namespace jayramp
