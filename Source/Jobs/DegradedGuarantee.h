#pragma once

#include <cstdint>
#include <string>

namespace jayramp {

/// Guaranteed shapes of one size that the live workers cannot hold at present.
struct DegradedGuarantee {
  std::string Account;
  std::uint32_t Accelerators = 0;
  std::uint32_t Count = 0;

  auto operator==(const DegradedGuarantee &) const -> bool = default;
};

} // namespace jayramp
