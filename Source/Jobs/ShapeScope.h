#pragma once

#include <cstdint>

namespace jayramp {

/// The smallest unit of the topology that can hold a shape.
struct ShapeScope {
  enum class Level { Worker, Rack, RackRun, Anywhere };

  Level Unit = Level::Worker;
  std::uint32_t Racks = 1; ///< Length of the run for RackRun.

  auto operator==(const ShapeScope &) const -> bool = default;
};

} // namespace jayramp
