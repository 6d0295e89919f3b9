#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace jayramp {

/// One accelerator of a gang's placement, as job rows store it.
struct AcceleratorPlace {
  std::string Worker;
  std::uint32_t Accelerator = 0; ///< Zero-based, on the worker.
  /// Zero-based index of the guaranteed shape that this accelerator uses,
  /// counted over AccountPolicy::Guarantees with each entry repeated Count
  /// times; -1 for surplus use.
  std::int32_t GuaranteedShapeIndex = -1;

  auto operator<=>(const AcceleratorPlace &) const = default;
};

} // namespace jayramp
