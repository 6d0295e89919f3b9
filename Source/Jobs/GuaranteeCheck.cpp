#include "Jobs/GuaranteeCheck.h"

#include "Jobs/BlockFinder.h"

#include <algorithm>
#include <numeric>

namespace jayramp {
namespace {

using Shape = GuaranteeCheck::Shape;
using Packing = GuaranteeCheck::Packing;

/// Steps of the search after the greedy packing failed. At target size a step
/// takes up to 10 us, so this bounds the search to a few milliseconds.
constexpr std::uint32_t SearchSteps = 400;
/// Places tried for one shape. More find little, because equal places differ
/// only in their position.
constexpr std::size_t PlacesTried = 6;

class Search {
public:
  Search(const Topology &Installed, const std::vector<std::uint8_t> &Available,
         const std::vector<Shape> &Shapes)
      : Finder(BlockFinder::make(Installed, PlacementRule::SmallestBlock)),
        Shapes(Shapes) {
    for (auto Flag : Available)
      Current.push_back(Flag != 0 ? BlockFinder::Free
                                  : BlockFinder::Unavailable);
    for (const auto &Next : Shapes)
      mark(Next.Include, BlockFinder::Unavailable);
    Found.Blocks.resize(Shapes.size());
  }

  auto greedy(const std::vector<std::size_t> &Order) -> Packing {
    const auto Saved = Current;
    for (auto Index : Order) {
      auto Places = places(Index, 1);
      if (Places.empty())
        continue;
      mark(Places.front(), BlockFinder::Unavailable);
      Found.Blocks[Index] = std::move(Places.front());
      ++Found.Placed;
    }
    Current = Saved;
    Packing Result(Shapes.size() == 0 ? Packing{} : Found);
    Found = {};
    Found.Blocks.resize(Shapes.size());
    return Result;
  }

  auto complete(const std::vector<std::size_t> &Order) -> bool {
    Steps = 0;
    return extend(Order, 0);
  }

  auto packing() const -> const Packing & { return Found; }

private:
  auto extend(const std::vector<std::size_t> &Order, std::size_t Depth)
      -> bool {
    if (Depth == Order.size())
      return true;
    if (++Steps > SearchSteps)
      return false;
    const auto Index = Order[Depth];
    for (auto &Place : places(Index, PlacesTried)) {
      mark(Place, BlockFinder::Unavailable);
      Found.Blocks[Index] = Place;
      ++Found.Placed;
      if (extend(Order, Depth + 1))
        return true;
      --Found.Placed;
      Found.Blocks[Index].clear();
      mark(Place, BlockFinder::Free);
      mark(Shapes[Index].Include, BlockFinder::Unavailable);
      if (Steps > SearchSteps)
        return false;
    }
    return false;
  }

  auto places(std::size_t Index, std::size_t Limit)
      -> std::vector<std::vector<std::uint32_t>> {
    const auto &Wanted = Shapes[Index];
    if (Wanted.Include.size() == Wanted.Accelerators) {
      auto Whole = Wanted.Include;
      std::sort(Whole.begin(), Whole.end());
      return {std::move(Whole)};
    }
    mark(Wanted.Include, BlockFinder::Free);
    auto Blocks = Finder.findCandidates(
        {Wanted.Accelerators, true, Wanted.Include}, Current, Limit);
    mark(Wanted.Include, BlockFinder::Unavailable);
    std::vector<std::vector<std::uint32_t>> Places;
    for (auto &Next : Blocks)
      Places.push_back(std::move(Next.Accelerators));
    return Places;
  }

  auto mark(const std::vector<std::uint32_t> &Accelerators, std::int64_t Claim)
      -> void {
    for (auto Index : Accelerators)
      Current[Index] = Claim;
  }

  BlockFinder Finder;
  const std::vector<Shape> &Shapes;
  BlockFinder::Occupancy Current;
  Packing Found;
  std::uint32_t Steps = 0;
};

} // namespace

auto GuaranteeCheck::pack(const Topology &Installed,
                          const std::vector<std::uint8_t> &Available,
                          const std::vector<Shape> &Shapes, Effort Spent)
    -> Packing {
  // Shapes in use come first, as they have the least choice, then large ones.
  std::vector<std::size_t> Order(Shapes.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::stable_sort(Order.begin(), Order.end(), [&](auto Left, auto Right) {
    return std::make_pair(Shapes[Left].Include.empty(),
                          ~Shapes[Left].Accelerators) <
           std::make_pair(Shapes[Right].Include.empty(),
                          ~Shapes[Right].Accelerators);
  });
  Search Searcher(Installed, Available, Shapes);
  auto Best = Searcher.greedy(Order);
  if (Best.isComplete() || Spent == Effort::Greedy)
    return Best;
  // Small shapes have to be on one worker, large ones only in one rack, so the
  // opposite order sometimes succeeds.
  auto Reversed = Order;
  std::reverse(Reversed.begin(), Reversed.end());
  auto Other = Searcher.greedy(Reversed);
  if (Other.Placed > Best.Placed)
    Best = std::move(Other);
  if (!Best.isComplete() &&
      (Searcher.complete(Order) || Searcher.complete(Reversed)))
    Best = Searcher.packing();
  return Best;
}

auto GuaranteeCheck::checkAccounts(const Topology &Installed,
                                   const std::vector<AccountPolicy> &Accounts)
    -> Result<void> {
  std::vector<Shape> Shapes;
  std::vector<const AccountPolicy *> Owners;
  for (const auto &Account : Accounts) {
    const auto Place = "accounts[" + Account.Name + "]";
    if (Account.AcceleratorQuota != 0 &&
        Account.AcceleratorQuota < Account.guaranteedTotal())
      return Error::make(ErrorKind::Rejected, Place + ".accelerator_quota",
                         "the quota is smaller than the account's guarantee",
                         "raise the quota or lower the guarantee");
    for (const auto &Guarantee : Account.Guarantees)
      for (std::uint32_t Count = 0; Count < Guarantee.Count; ++Count) {
        Shapes.push_back({Guarantee.Accelerators, {}});
        Owners.push_back(&Account);
      }
  }
  const std::vector<std::uint8_t> All(Installed.acceleratorCount(), 1);
  const auto Packed = pack(Installed, All, Shapes);
  for (std::size_t Index = 0; Index < Shapes.size(); ++Index)
    if (Packed.Blocks[Index].empty())
      return Error::make(
          ErrorKind::Rejected,
          "accounts[" + Owners[Index]->Name + "].guarantees",
          "no place was found for a shape of " +
              std::to_string(Shapes[Index].Accelerators) +
              " adjacent accelerators beside all other guarantees",
          "lower a guarantee or add workers");
  return success();
}

} // namespace jayramp
