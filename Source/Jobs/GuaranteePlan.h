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

/// Assigns a block of accelerators to each guaranteed shape. The blocks are
/// disjoint, so at any time all guarantees can be reclaimed together. Surplus
/// gangs may run in any block, guaranteed gangs only in blocks of their own
/// account. A block whose shape is unused may move.
class GuaranteePlan {
public:
  /// One guaranteed set of adjacent accelerators.
  struct GuaranteedShape {
    std::string Account;
    std::int32_t IndexInAccount = 0; ///< Among the account's shapes.
    std::uint32_t Size = 0;          ///< Number of accelerators.
    /// Sorted accelerator numbers; empty if the live workers cannot hold the
    /// shape (degraded).
    std::vector<std::uint32_t> Block;
    /// Accelerators of this shape that guaranteed gangs of the account hold.
    std::vector<std::uint32_t> HeldAccelerators;
  };

  /// Shapes by identifier.
  using ShapeMap = std::map<std::int32_t, GuaranteedShape>;

  /// Replaces the shapes. A new shape takes over the identifier and the block
  /// of an old one of the same account and size; old shapes that are in use are
  /// taken first.
  auto setAccounts(const std::vector<AccountPolicy> &Accounts) -> void;
  /// Removes all blocks and holdings, for a change of the topology.
  auto clearBlocksAndHoldings() -> void;

  /// Drops blocks that contain accelerators that are not usable or that another
  /// shape holds, and searches for new ones. Shapes without a new block are
  /// degraded.
  auto repairBlocks(const Topology &Cluster,
                    const std::vector<std::uint8_t> &Usable) -> void;

  /// Moves the block of an unused shape. Other unused shapes that overlap the
  /// new block move as well. If one of them finds no block, nothing changes and
  /// the result is false.
  auto moveBlock(const Topology &Cluster,
                 const std::vector<std::uint8_t> &Usable, std::int32_t Id,
                 const std::vector<std::uint32_t> &Block) -> bool;

  /// Reassigns gangs that use only a part of a large shape to an unused smaller
  /// shape of the same account, so that the large shape becomes unused. The
  /// gangs keep their accelerators. Returns, for each large shape that became
  /// unused, the smaller shape that replaced it.
  auto moveGangsToSmallerShapes(const Topology &Cluster,
                                const std::vector<std::uint8_t> &Usable,
                                const std::string &Account)
      -> std::map<std::int32_t, std::int32_t>;

  /// Records that a guaranteed gang uses these accelerators of the shape.
  auto hold(std::int32_t Id, const std::vector<std::uint32_t> &Accelerators)
      -> void;
  /// Records that no gang uses these accelerators of the shape any more.
  auto release(std::int32_t Id, const std::vector<std::uint32_t> &Accelerators)
      -> void;

  auto shapes() const -> const ShapeMap & { return ShapeById; }
  /// Returns the accelerators of the block that no guaranteed gang holds.
  auto freeAccelerators(std::int32_t Id) const -> std::vector<std::uint32_t>;
  /// Returns a flag for each accelerator, set if the block of shape \p Id must
  /// not contain it because another shape in use holds it or has it in its
  /// block. \p Accelerators is the size of the topology.
  auto immovableAccelerators(std::uint32_t Accelerators, std::int32_t Id) const
      -> std::vector<std::uint8_t>;
  /// Returns the shapes without a block, counted by account and size.
  auto degradedGuarantees() const -> std::vector<DegradedGuarantee>;
  /// Returns the number of shapes without a block.
  auto degradedShapeCount() const -> std::int64_t;

private:
  /// Searches blocks for these shapes; all other blocks stay. Returns true if
  /// each of them has a block now.
  auto assignBlocks(const Topology &Cluster,
                    const std::vector<std::uint8_t> &Usable,
                    const std::vector<std::int32_t> &Ids,
                    GuaranteeCheck::Effort Allowed) -> bool;

  ShapeMap ShapeById;
  std::int32_t NextId = 0;
};

} // namespace jayramp
