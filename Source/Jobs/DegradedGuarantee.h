#pragma once

#include <cstdint>
#include <string>

namespace jayramp {

/// Guaranteed shapes of one account and size that do not fit on the live
/// workers at present.
struct DegradedGuarantee {
  std::string Account;
  std::uint32_t Accelerators = 0; ///< Size of each shape.
  std::uint32_t Count = 0;        ///< Number of shapes that do not fit.

  auto operator==(const DegradedGuarantee &) const -> bool = default;
};

} // namespace jayramp
