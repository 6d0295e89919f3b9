#pragma once

#include <string>
#include <vector>

namespace jayramp {

/// The members of an earlier view under which hosts may still be serving when
/// a newer view is written. A host serves under the newer view only once no
/// host can serve under this one any more; see ViewSettlement.
struct PredecessorView {
  std::vector<std::string> MemberNames; ///< Sorted.
  /// Members that left by their own write, which proves that they no longer
  /// serve under this view; sorted.
  std::vector<std::string> ReleasedMembers;

  auto operator==(const PredecessorView &) const -> bool = default;
};

} // namespace jayramp
