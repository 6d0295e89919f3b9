#pragma once

#include "Base/Result.h"
#include "Jobs/AccountPolicy.h"
#include "Jobs/Topology.h"

#include <cstdint>
#include <vector>

namespace jayramp {

/// Packs guaranteed shapes into accelerators, all of them at the same time and
/// each one adjacent. A packing that is found proves that the guarantees can be
/// met. The search is bounded, so an existing packing may be missed.
class GuaranteeCheck {
public:
  /// A shape to pack.
  struct Shape {
    std::uint32_t Accelerators = 0;
    /// Accelerators in use that the block of the shape must contain.
    std::vector<std::uint32_t> Required;
  };

  /// How long to search.
  enum class Effort {
    Greedy, ///< One order; some 100 us at the target cluster size.
    Search, ///< Also other orders and blocks; some milliseconds.
  };

  /// Result of pack().
  struct Packing {
    /// One sorted block for each shape; empty if the shape did not fit.
    std::vector<std::vector<std::uint32_t>> Blocks;
    std::uint32_t PlacedCount = 0;

    auto isComplete() const -> bool { return PlacedCount == Blocks.size(); }
  };

  /// Searches a block for each shape. \p Available has a flag for each
  /// accelerator, set if blocks may use it; a shape may use its own required
  /// accelerators in any case.
  static auto pack(const Topology &Cluster,
                   const std::vector<std::uint8_t> &Available,
                   const std::vector<Shape> &Shapes,
                   Effort Allowed = Effort::Search) -> Packing;

  /// Checks the guarantees of a new configuration. Returns Rejected, with the
  /// name of the account, if the guarantees of all accounts do not fit into the
  /// topology together, or if a quota is smaller than the guarantee of its
  /// account.
  static auto checkAccounts(const Topology &Cluster,
                            const std::vector<AccountPolicy> &Accounts)
      -> Result<void>;
};

} // namespace jayramp
