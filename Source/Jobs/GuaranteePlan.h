#pragma once

#include "Jobs/AccountPolicy.h"
#include "Jobs/DegradedGuarantee.h"
#include "Jobs/GuaranteeCheck.h"
#include "Jobs/Topology.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jayramp {

/// Keeps a block of accelerators for each guaranteed shape, so that at any time
/// the blocks prove that all guarantees can be reclaimed together. Blocks are
/// disjoint. Surplus gangs may run in them; guaranteed gangs only in blocks of
/// their own account. A block whose shape is not in use may move.
class GuaranteePlan {
public:
  struct Unit {
    std::string Account;
    std::int32_t Ordinal = 0; ///< Position among the account's shapes.
    std::uint32_t Size = 0;
    /// Sorted; empty if the live workers cannot hold the shape (degraded).
    std::vector<std::uint32_t> Block;
    /// Accelerators of the account's guaranteed gangs in this shape.
    std::vector<std::uint32_t> Held;
  };

  using Units = std::map<std::int32_t, Unit>;

  /// Replaces the shapes. Shapes that existed before keep their identifier and
  /// block, first those that are in use.
  auto setAccounts(const std::vector<AccountPolicy> &Accounts) -> void;
  /// Forgets all blocks and holdings, for another topology.
  auto clearPlaces() -> void;

  /// Makes the blocks valid for the usable accelerators: gives up blocks on
  /// others and looks for new ones. Shapes that find none are degraded.
  auto repair(const Topology &Installed,
              const std::vector<std::uint8_t> &Usable) -> void;

  /// Moves the block of an unused shape. Unused shapes that are in the way move
  /// too; if one of them finds no place, nothing changes and the result is
  /// false.
  auto moveBlock(const Topology &Installed,
                 const std::vector<std::uint8_t> &Usable, std::int32_t Id,
                 const std::vector<std::uint32_t> &Block) -> bool;

  /// Accounts small gangs in a large shape to an unused smaller shape of the
  /// same account, so that the large shape is unused again. Gangs stay where
  /// they are. Returns the new shape for each shape that was emptied.
  auto rebook(const Topology &Installed,
              const std::vector<std::uint8_t> &Usable,
              const std::string &Account)
      -> std::map<std::int32_t, std::int32_t>;

  /// Records that a gang of the account uses these accelerators of the shape.
  auto hold(std::int32_t Id, const std::vector<std::uint32_t> &Accelerators)
      -> void;
  auto release(std::int32_t Id, const std::vector<std::uint32_t> &Accelerators)
      -> void;

  auto shapes() const -> const Units & { return All; }
  /// Accelerators of the shape's block that no guaranteed gang holds.
  auto spare(std::int32_t Id) const -> std::vector<std::uint32_t>;
  /// Accelerators that the blocks of other shapes must not use: holdings and
  /// blocks of shapes in use, except those of \p Id.
  auto pinned(std::uint32_t Accelerators, std::int32_t Id) const
      -> std::vector<std::uint8_t>;
  /// Shapes without a block, summed up by account and size.
  auto degraded() const -> std::vector<DegradedGuarantee>;
  auto degradedCount() const -> std::int64_t;

private:
  auto assignBlocks(const Topology &Installed,
                    const std::vector<std::uint8_t> &Usable,
                    const std::vector<std::int32_t> &Ids,
                    GuaranteeCheck::Effort Spent) -> bool;

  Units All;
  std::int32_t NextId = 0;
};

} // namespace jayramp
