#include "Jobs/GuaranteePlan.h"

#include <algorithm>
#include <utility>

namespace jayramp {

auto GuaranteePlan::setAccounts(const std::vector<AccountPolicy> &Accounts)
    -> void {
  ShapeMap NewShapes;
  for (const auto &Account : Accounts) {
    std::int32_t NextIndex = 0;
    for (const auto &Guarantee : Account.Guarantees)
      for (std::uint32_t Count = 0; Count < Guarantee.Count; ++Count) {
        auto Reused = ShapeById.end();
        for (auto Entry = ShapeById.begin(); Entry != ShapeById.end();
             ++Entry) {
          const auto &Old = Entry->second;
          if (Old.Account != Account.Name || Old.Size != Guarantee.Accelerators)
            continue;
          if (Reused == ShapeById.end() ||
              Old.HeldAccelerators.size() >
                  Reused->second.HeldAccelerators.size())
            Reused = Entry;
        }
        if (Reused != ShapeById.end()) {
          auto Extracted = ShapeById.extract(Reused);
          Extracted.mapped().IndexInAccount = NextIndex++;
          NewShapes.insert(std::move(Extracted));
        } else {
          NewShapes.emplace(
              NextId++,
              GuaranteedShape{
                  Account.Name, NextIndex++, Guarantee.Accelerators, {}, {}});
        }
      }
  }
  ShapeById = std::move(NewShapes);
}

auto GuaranteePlan::clearBlocksAndHoldings() -> void {
  for (auto &[Id, Shape] : ShapeById) {
    Shape.Block.clear();
    Shape.HeldAccelerators.clear();
  }
}

auto GuaranteePlan::assignBlocks(const Topology &Cluster,
                                 const std::vector<std::uint8_t> &Usable,
                                 const std::vector<std::int32_t> &Ids,
                                 GuaranteeCheck::Effort Allowed) -> bool {
  auto Available = Usable;
  for (const auto &[Id, Shape] : ShapeById) {
    for (auto Index : Shape.HeldAccelerators)
      Available[Index] = 0;
    if (std::find(Ids.begin(), Ids.end(), Id) == Ids.end())
      for (auto Index : Shape.Block)
        Available[Index] = 0;
  }
  std::vector<GuaranteeCheck::Shape> Shapes;
  for (auto Id : Ids)
    Shapes.push_back(
        {ShapeById.at(Id).Size, ShapeById.at(Id).HeldAccelerators});
  auto Packing = GuaranteeCheck::pack(Cluster, Available, Shapes, Allowed);
  const auto BlocksBefore =
      std::count_if(Ids.begin(), Ids.end(), [this](auto Id) {
        return !ShapeById.at(Id).Block.empty();
      });
  // An incomplete packing replaces the blocks only if it places more shapes, so
  // that no guarantee is degraded in favour of another one.
  if (static_cast<std::int64_t>(Packing.PlacedCount) > BlocksBefore)
    for (std::size_t Index = 0; Index < Ids.size(); ++Index)
      ShapeById.at(Ids[Index]).Block = std::move(Packing.Blocks[Index]);
  return Packing.isComplete();
}

auto GuaranteePlan::repairBlocks(const Topology &Cluster,
                                 const std::vector<std::uint8_t> &Usable)
    -> void {
  std::vector<std::int32_t> Holder(Usable.size(), -1);
  for (const auto &[Id, Shape] : ShapeById)
    for (auto Index : Shape.HeldAccelerators)
      Holder[Index] = Id;
  std::vector<std::int32_t> ShapesWithoutBlock;
  for (auto &[Id, Entry] : ShapeById) {
    const auto ShapeId = Id;
    const auto &Shape = Entry;
    const bool Valid =
        std::all_of(Entry.Block.begin(), Entry.Block.end(),
                    [&](auto Index) {
                      return Holder[Index] == ShapeId ||
                             (Holder[Index] == -1 && Usable[Index] != 0);
                    }) &&
        std::all_of(Entry.HeldAccelerators.begin(),
                    Entry.HeldAccelerators.end(), [&](auto Index) {
                      return std::binary_search(Shape.Block.begin(),
                                                Shape.Block.end(), Index);
                    });
    if (!Valid)
      Entry.Block.clear();
    if (Entry.Block.empty())
      ShapesWithoutBlock.push_back(Id);
  }
  if (ShapesWithoutBlock.empty() ||
      assignBlocks(Cluster, Usable, ShapesWithoutBlock,
                   GuaranteeCheck::Effort::Search))
    return;
  std::vector<std::int32_t> NotFullyHeld;
  for (const auto &[Id, Shape] : ShapeById)
    if (Shape.HeldAccelerators.size() < Shape.Size)
      NotFullyHeld.push_back(Id);
  assignBlocks(Cluster, Usable, NotFullyHeld, GuaranteeCheck::Effort::Search);
}

auto GuaranteePlan::moveBlock(const Topology &Cluster,
                              const std::vector<std::uint8_t> &Usable,
                              std::int32_t Id,
                              const std::vector<std::uint32_t> &Block) -> bool {
  const auto OverlapsBlock = [&](const GuaranteedShape &Shape) {
    return std::any_of(Shape.Block.begin(), Shape.Block.end(), [&](auto Index) {
      return std::binary_search(Block.begin(), Block.end(), Index);
    });
  };
  std::vector<std::int32_t> Displaced;
  for (const auto &[Other, Shape] : ShapeById)
    if (Other != Id && OverlapsBlock(Shape)) {
      if (!Shape.HeldAccelerators.empty())
        return false;
      Displaced.push_back(Other);
    }
  auto BlockBefore = std::exchange(ShapeById.at(Id).Block, Block);
  std::vector<std::vector<std::uint32_t>> Saved;
  for (auto Other : Displaced)
    Saved.push_back(std::exchange(ShapeById.at(Other).Block, {}));
  if (Displaced.empty() ||
      assignBlocks(Cluster, Usable, Displaced, GuaranteeCheck::Effort::Greedy))
    return true;
  ShapeById.at(Id).Block = std::move(BlockBefore);
  for (std::size_t Index = 0; Index < Displaced.size(); ++Index)
    ShapeById.at(Displaced[Index]).Block = std::move(Saved[Index]);
  return false;
}

auto GuaranteePlan::moveGangsToSmallerShapes(
    const Topology &Cluster, const std::vector<std::uint8_t> &Usable,
    const std::string &Account) -> std::map<std::int32_t, std::int32_t> {
  std::map<std::int32_t, std::int32_t> MovedShapes;
  for (auto &[LargerId, Larger] : ShapeById) {
    if (Larger.Account != Account || Larger.HeldAccelerators.empty())
      continue;
    for (auto &[SmallerId, Smaller] : ShapeById) {
      if (Smaller.Account != Account || !Smaller.HeldAccelerators.empty() ||
          Smaller.Size >= Larger.Size ||
          Smaller.Size < Larger.HeldAccelerators.size())
        continue;
      const auto Saved = ShapeById;
      const auto DegradedBefore = degradedShapeCount();
      std::swap(Larger.HeldAccelerators, Smaller.HeldAccelerators);
      // The smaller shape, now in use, gets a new block around its gangs.
      Smaller.Block.clear();
      repairBlocks(Cluster, Usable);
      if (degradedShapeCount() <= DegradedBefore) {
        MovedShapes[LargerId] = SmallerId;
        break;
      }
      for (auto &[Id, Shape] : ShapeById)
        Shape = Saved.at(Id);
    }
  }
  return MovedShapes;
}

auto GuaranteePlan::hold(std::int32_t Id,
                         const std::vector<std::uint32_t> &Accelerators)
    -> void {
  auto &Held = ShapeById.at(Id).HeldAccelerators;
  Held.insert(Held.end(), Accelerators.begin(), Accelerators.end());
}

auto GuaranteePlan::release(std::int32_t Id,
                            const std::vector<std::uint32_t> &Accelerators)
    -> void {
  const auto Found = ShapeById.find(Id);
  if (Found == ShapeById.end())
    return;
  auto &Held = Found->second.HeldAccelerators;
  Held.erase(std::remove_if(Held.begin(), Held.end(),
                            [&](auto Index) {
                              return std::find(Accelerators.begin(),
                                               Accelerators.end(),
                                               Index) != Accelerators.end();
                            }),
             Held.end());
}

auto GuaranteePlan::freeAccelerators(std::int32_t Id) const
    -> std::vector<std::uint32_t> {
  const auto &Shape = ShapeById.at(Id);
  std::vector<std::uint32_t> FreeAccelerators;
  for (auto Index : Shape.Block)
    if (std::find(Shape.HeldAccelerators.begin(), Shape.HeldAccelerators.end(),
                  Index) == Shape.HeldAccelerators.end())
      FreeAccelerators.push_back(Index);
  return FreeAccelerators;
}

auto GuaranteePlan::immovableAccelerators(std::uint32_t Accelerators,
                                          std::int32_t Id) const
    -> std::vector<std::uint8_t> {
  std::vector<std::uint8_t> Immovable(Accelerators, 0);
  for (const auto &[Other, Shape] : ShapeById) {
    if (Other == Id || Shape.HeldAccelerators.empty())
      continue;
    for (auto Index : Shape.HeldAccelerators)
      Immovable[Index] = 1;
    for (auto Index : Shape.Block)
      Immovable[Index] = 1;
  }
  return Immovable;
}

auto GuaranteePlan::degradedShapeCount() const -> std::int64_t {
  return std::count_if(
      ShapeById.begin(), ShapeById.end(),
      [](const auto &Entry) { return Entry.second.Block.empty(); });
}

auto GuaranteePlan::degradedGuarantees() const
    -> std::vector<DegradedGuarantee> {
  std::vector<DegradedGuarantee> Guarantees;
  for (const auto &[Id, Shape] : ShapeById) {
    if (!Shape.Block.empty())
      continue;
    const auto Known = std::find_if(Guarantees.begin(), Guarantees.end(),
                                    [&Shape = Shape](const auto &Entry) {
                                      return Entry.Account == Shape.Account &&
                                             Entry.Accelerators == Shape.Size;
                                    });
    if (Known != Guarantees.end())
      ++Known->Count;
    else
      Guarantees.push_back({Shape.Account, Shape.Size, 1});
  }
  return Guarantees;
}

} // namespace jayramp
