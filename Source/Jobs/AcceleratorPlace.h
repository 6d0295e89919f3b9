#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace jayramp {

/// One accelerator of a gang's placement, in the form that job rows store.
struct AcceleratorPlace {
  std::string Worker;
  std::uint32_t Accelerator = 0; ///< Index on the worker, from 0.
  /// Index of the guaranteed shape of the job's account that this accelerator
  /// uses (AccountPolicy::Guarantees expanded in order); -1 for surplus.
  std::int32_t GuaranteedShapeIndex = -1;

  auto operator<=>(const AcceleratorPlace &) const = default;
};

} // namespace jayramp
