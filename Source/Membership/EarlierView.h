#pragma once

#include "Membership/Member.h"

#include <cstdint>
#include <vector>

namespace jayramp {

/// A view that came before the current one. A host that did not see it in time
/// adopts it afterwards, to learn which role it had there.
struct EarlierView {
  std::uint64_t Version = 0;
  std::vector<Member> Members; ///< Sorted by name; without addresses.

  auto operator==(const EarlierView &) const -> bool = default;
};

} // namespace jayramp
