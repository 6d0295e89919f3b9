#pragma once

#include <cstdint>

namespace jayramp {

// Defaults for fields of ConfigurationDocument that are 0; see jayramp.proto.
inline constexpr std::uint32_t DefaultShortLimitMs = 250;
inline constexpr std::uint32_t DefaultLongSlotPercent = 50;
inline constexpr std::uint32_t DefaultQueueLimit = 1000;
inline constexpr std::uint32_t DefaultRetryBudgetPercent = 10;

/// Returns \p Value, or \p Default if \p Value is 0.
constexpr auto valueOrDefault(std::uint32_t Value, std::uint32_t Default)
    -> std::uint32_t {
  return Value == 0 ? Default : Value;
}

} // namespace jayramp
