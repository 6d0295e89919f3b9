#pragma once

#include "Membership/Member.h"

#include <cstdint>
#include <vector>

namespace jayramp {

/// An earlier view as recorded in the current one. A host that missed this view
/// reads from the record which shards and roles it had under it.
struct EarlierView {
  std::uint64_t Version = 0;
  std::vector<Member> Members; ///< Sorted by name; addresses are empty.

  auto operator==(const EarlierView &) const -> bool = default;
};

} // namespace jayramp
