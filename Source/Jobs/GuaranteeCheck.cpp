#include "Jobs/GuaranteeCheck.h"

#include "Jobs/BlockFinder.h"

#include <algorithm>
#include <numeric>

namespace jayramp {
namespace {

using Shape = GuaranteeCheck::Shape;
using Packing = GuaranteeCheck::Packing;

/// Maximum number of steps of the search that follows a failed greedy packing.
/// A step takes up to 10 us at the target cluster size, so the search takes a
/// few milliseconds at most.
constexpr std::uint32_t MaxSearchSteps = 400;
/// Number of blocks tried for each shape. More blocks rarely help, because
/// blocks of equal rank differ only in their position.
constexpr std::size_t MaxBlocksTriedPerShape = 6;

/// Searches blocks for all shapes at once.
class PackingSearch {
public:
  PackingSearch(const Topology &Cluster,
                const std::vector<std::uint8_t> &Available,
                const std::vector<Shape> &Shapes)
      : Finder(BlockFinder::make(Cluster, PlacementRule::SmallestBlock)),
        Shapes(Shapes) {
    for (auto Flag : Available)
      CurrentOccupancy.push_back(Flag != 0 ? BlockFinder::Free
                                           : BlockFinder::Unavailable);
    for (const auto &Next : Shapes)
      setOccupancy(Next.Required, BlockFinder::Unavailable);
    CurrentPacking.Blocks.resize(Shapes.size());
  }

  /// Packs the shapes in this order, each into its best block. A shape that
  /// does not fit gets none.
  auto packGreedily(const std::vector<std::size_t> &Order) -> Packing {
    const auto SavedOccupancy = CurrentOccupancy;
    for (auto Index : Order) {
      auto Blocks = candidateBlocks(Index, 1);
      if (Blocks.empty())
        continue;
      setOccupancy(Blocks.front(), BlockFinder::Unavailable);
      CurrentPacking.Blocks[Index] = std::move(Blocks.front());
      ++CurrentPacking.PlacedCount;
    }
    CurrentOccupancy = SavedOccupancy;
    Packing Result(Shapes.size() == 0 ? Packing{} : CurrentPacking);
    CurrentPacking = {};
    CurrentPacking.Blocks.resize(Shapes.size());
    return Result;
  }

  /// Packs all shapes by a bounded search with backtracking. Returns true if
  /// each of them has a block; packing() then returns the result.
  auto packAll(const std::vector<std::size_t> &Order) -> bool {
    Steps = 0;
    return packFrom(Order, 0);
  }

  auto packing() const -> const Packing & { return CurrentPacking; }

private:
  auto packFrom(const std::vector<std::size_t> &Order, std::size_t Depth)
      -> bool {
    if (Depth == Order.size())
      return true;
    if (++Steps > MaxSearchSteps)
      return false;
    const auto Index = Order[Depth];
    for (auto &Block : candidateBlocks(Index, MaxBlocksTriedPerShape)) {
      setOccupancy(Block, BlockFinder::Unavailable);
      CurrentPacking.Blocks[Index] = Block;
      ++CurrentPacking.PlacedCount;
      if (packFrom(Order, Depth + 1))
        return true;
      --CurrentPacking.PlacedCount;
      CurrentPacking.Blocks[Index].clear();
      setOccupancy(Block, BlockFinder::Free);
      setOccupancy(Shapes[Index].Required, BlockFinder::Unavailable);
      if (Steps > MaxSearchSteps)
        return false;
    }
    return false;
  }

  /// Returns at most \p Limit blocks for the shape, best first.
  auto candidateBlocks(std::size_t Index, std::size_t Limit)
      -> std::vector<std::vector<std::uint32_t>> {
    const auto &WantedShape = Shapes[Index];
    if (WantedShape.Required.size() == WantedShape.Accelerators) {
      auto Whole = WantedShape.Required;
      std::sort(Whole.begin(), Whole.end());
      return {std::move(Whole)};
    }
    setOccupancy(WantedShape.Required, BlockFinder::Free);
    auto Candidates = Finder.findCandidates(
        {WantedShape.Accelerators, true, WantedShape.Required},
        CurrentOccupancy, Limit);
    setOccupancy(WantedShape.Required, BlockFinder::Unavailable);
    std::vector<std::vector<std::uint32_t>> Blocks;
    for (auto &Next : Candidates)
      Blocks.push_back(std::move(Next.Accelerators));
    return Blocks;
  }

  /// Sets the occupancy of these accelerators.
  auto setOccupancy(const std::vector<std::uint32_t> &Accelerators,
                    std::int64_t Value) -> void {
    for (auto Index : Accelerators)
      CurrentOccupancy[Index] = Value;
  }

  BlockFinder Finder;
  const std::vector<Shape> &Shapes;
  BlockFinder::Occupancy CurrentOccupancy;
  Packing CurrentPacking;
  std::uint32_t Steps = 0;
};

} // namespace

auto GuaranteeCheck::pack(const Topology &Cluster,
                          const std::vector<std::uint8_t> &Available,
                          const std::vector<Shape> &Shapes, Effort Allowed)
    -> Packing {
  // Pack shapes in use first, since they have the fewest possible blocks, then
  // large shapes.
  std::vector<std::size_t> Order(Shapes.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::stable_sort(Order.begin(), Order.end(), [&](auto Left, auto Right) {
    return std::make_pair(Shapes[Left].Required.empty(),
                          ~Shapes[Left].Accelerators) <
           std::make_pair(Shapes[Right].Required.empty(),
                          ~Shapes[Right].Accelerators);
  });
  PackingSearch Searcher(Cluster, Available, Shapes);
  auto Best = Searcher.packGreedily(Order);
  if (Best.isComplete() || Allowed == Effort::Greedy)
    return Best;
  // A small shape must fit on one worker and a large one only in one rack, so
  // the reverse order sometimes succeeds where the first one fails.
  auto Reversed = Order;
  std::reverse(Reversed.begin(), Reversed.end());
  auto ReversedPacking = Searcher.packGreedily(Reversed);
  if (ReversedPacking.PlacedCount > Best.PlacedCount)
    Best = std::move(ReversedPacking);
  if (!Best.isComplete() &&
      (Searcher.packAll(Order) || Searcher.packAll(Reversed)))
    Best = Searcher.packing();
  return Best;
}

auto GuaranteeCheck::checkAccounts(const Topology &Cluster,
                                   const std::vector<AccountPolicy> &Accounts)
    -> Result<void> {
  std::vector<Shape> Shapes;
  std::vector<const AccountPolicy *> OwnerOfShape;
  for (const auto &Account : Accounts) {
    const auto Place = "accounts[" + Account.Name + "]";
    if (Account.AcceleratorQuota != 0 &&
        Account.AcceleratorQuota < Account.guaranteedAccelerators())
      return Error::make(ErrorKind::Rejected, Place + ".accelerator_quota",
                         "the quota is smaller than the account's guarantee",
                         "raise the quota or lower the guarantee");
    for (const auto &Guarantee : Account.Guarantees)
      for (std::uint32_t Count = 0; Count < Guarantee.Count; ++Count) {
        Shapes.push_back({Guarantee.Accelerators, {}});
        OwnerOfShape.push_back(&Account);
      }
  }
  const std::vector<std::uint8_t> All(Cluster.acceleratorCount(), 1);
  const auto Packed = pack(Cluster, All, Shapes);
  for (std::size_t Index = 0; Index < Shapes.size(); ++Index)
    if (Packed.Blocks[Index].empty())
      return Error::make(
          ErrorKind::Rejected,
          "accounts[" + OwnerOfShape[Index]->Name + "].guarantees",
          "found no block for a shape of " +
              std::to_string(Shapes[Index].Accelerators) +
              " adjacent accelerators in addition to all other guarantees",
          "lower a guarantee or add workers");
  return success();
}

} // namespace jayramp
