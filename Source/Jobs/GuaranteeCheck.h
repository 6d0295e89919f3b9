#pragma once

#include "Base/Result.h"
#include "Jobs/AccountPolicy.h"
#include "Jobs/Topology.h"

#include <cstdint>
#include <vector>

namespace jayramp {

/// Packs guaranteed shapes into accelerators, all at the same time and as
/// shapes. A packing that is found proves that the guarantees can be held; the
/// search is bounded, so a packing may be missed, never invented.
class GuaranteeCheck {
public:
  struct Shape {
    std::uint32_t Accelerators = 0;
    /// Accelerators in use that the block must contain.
    std::vector<std::uint32_t> Include;
  };

  enum class Effort {
    Greedy, ///< Largest first, a few hundred microseconds at target size.
    Search, ///< Also other orders and places, some milliseconds.
  };

  struct Packing {
    /// One sorted block for each shape; empty if it found no place.
    std::vector<std::vector<std::uint32_t>> Blocks;
    std::uint32_t Placed = 0;

    auto isComplete() const -> bool { return Placed == Blocks.size(); }
  };

  /// \p Available says for each accelerator whether a block may use it;
  /// accelerators in Include may be used by their own shape in any case.
  static auto pack(const Topology &Installed,
                   const std::vector<std::uint8_t> &Available,
                   const std::vector<Shape> &Shapes,
                   Effort Spent = Effort::Search) -> Packing;

  /// Rejected, with the name of the account, if the guarantees of all accounts
  /// do not fit together into the installed topology, or a quota is smaller
  /// than the account's own guarantee. For accepting a configuration.
  static auto checkAccounts(const Topology &Installed,
                            const std::vector<AccountPolicy> &Accounts)
      -> Result<void>;
};

} // namespace jayramp
