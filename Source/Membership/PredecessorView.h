#pragma once

#include <string>
#include <vector>

namespace jayramp {

/// The members of an earlier view that may still be served when a newer view
/// is written. A host serves the newer view only when the earlier one has
/// certainly ended; see ViewSettlement.
struct PredecessorView {
  std::vector<std::string> Names; ///< Sorted.
  /// Members whose own write proves that they no longer serve the earlier
  /// view; sorted.
  std::vector<std::string> Released;

  auto operator==(const PredecessorView &) const -> bool = default;
};

} // namespace jayramp
