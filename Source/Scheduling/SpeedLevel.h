#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace jayramp::scheduling {

/// The levels at which speeds are learned. A worker without measurements has
/// the speed of its group at the level before.
enum class SpeedLevel : std::uint8_t {
  Zone,
  Kind, ///< Workers of a zone with equal labels.
  Rack, ///< Workers of a kind in the same rack.
  Worker,
};

constexpr std::array AllSpeedLevels = {SpeedLevel::Zone, SpeedLevel::Kind,
                                       SpeedLevel::Rack, SpeedLevel::Worker};
constexpr std::size_t SpeedLevelCount = AllSpeedLevels.size();

/// The group of a worker at each level, by SpeedLevel.
using SpeedPath = std::array<std::uint32_t, SpeedLevelCount>;

} // namespace jayramp::scheduling
