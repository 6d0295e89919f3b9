#include "Jobs/GuaranteePlan.h"

#include <algorithm>
#include <utility>

namespace jayramp {

auto GuaranteePlan::setAccounts(const std::vector<AccountPolicy> &Accounts)
    -> void {
  Units Next;
  for (const auto &Account : Accounts) {
    std::int32_t Ordinal = 0;
    for (const auto &Guarantee : Account.Guarantees)
      for (std::uint32_t Count = 0; Count < Guarantee.Count; ++Count) {
        auto Kept = All.end();
        for (auto Entry = All.begin(); Entry != All.end(); ++Entry) {
          const auto &Old = Entry->second;
          if (Old.Account != Account.Name || Old.Size != Guarantee.Accelerators)
            continue;
          if (Kept == All.end() || Old.Held.size() > Kept->second.Held.size())
            Kept = Entry;
        }
        if (Kept != All.end()) {
          auto Moved = All.extract(Kept);
          Moved.mapped().Ordinal = Ordinal++;
          Next.insert(std::move(Moved));
        } else {
          Next.emplace(
              NextId++,
              Unit{Account.Name, Ordinal++, Guarantee.Accelerators, {}, {}});
        }
      }
  }
  All = std::move(Next);
}

auto GuaranteePlan::clearPlaces() -> void {
  for (auto &[Id, Entry] : All) {
    Entry.Block.clear();
    Entry.Held.clear();
  }
}

auto GuaranteePlan::assignBlocks(const Topology &Installed,
                                 const std::vector<std::uint8_t> &Usable,
                                 const std::vector<std::int32_t> &Ids,
                                 GuaranteeCheck::Effort Spent) -> bool {
  auto Available = Usable;
  for (const auto &[Id, Entry] : All) {
    for (auto Index : Entry.Held)
      Available[Index] = 0;
    if (std::find(Ids.begin(), Ids.end(), Id) == Ids.end())
      for (auto Index : Entry.Block)
        Available[Index] = 0;
  }
  std::vector<GuaranteeCheck::Shape> Shapes;
  for (auto Id : Ids)
    Shapes.push_back({All.at(Id).Size, All.at(Id).Held});
  auto Packed = GuaranteeCheck::pack(Installed, Available, Shapes, Spent);
  const auto Before = std::count_if(Ids.begin(), Ids.end(), [this](auto Id) {
    return !All.at(Id).Block.empty();
  });
  // An incomplete packing replaces the blocks only if it holds more shapes, so
  // that a guarantee is not degraded in favour of another one.
  if (static_cast<std::int64_t>(Packed.Placed) > Before)
    for (std::size_t Index = 0; Index < Ids.size(); ++Index)
      All.at(Ids[Index]).Block = std::move(Packed.Blocks[Index]);
  return Packed.isComplete();
}

auto GuaranteePlan::repair(const Topology &Installed,
                           const std::vector<std::uint8_t> &Usable) -> void {
  std::vector<std::int32_t> Holder(Usable.size(), -1);
  for (const auto &[Id, Entry] : All)
    for (auto Index : Entry.Held)
      Holder[Index] = Id;
  std::vector<std::int32_t> Missing;
  for (auto &[Id, Entry] : All) {
    const auto Own = Id;
    const auto &Shape = Entry;
    const bool Valid =
        std::all_of(Entry.Block.begin(), Entry.Block.end(),
                    [&](auto Index) {
                      return Holder[Index] == Own ||
                             (Holder[Index] == -1 && Usable[Index] != 0);
                    }) &&
        std::all_of(Entry.Held.begin(), Entry.Held.end(), [&](auto Index) {
          return std::binary_search(Shape.Block.begin(), Shape.Block.end(),
                                    Index);
        });
    if (!Valid)
      Entry.Block.clear();
    if (Entry.Block.empty())
      Missing.push_back(Id);
  }
  if (Missing.empty() ||
      assignBlocks(Installed, Usable, Missing, GuaranteeCheck::Effort::Search))
    return;
  std::vector<std::int32_t> Movable;
  for (const auto &[Id, Entry] : All)
    if (Entry.Held.size() < Entry.Size)
      Movable.push_back(Id);
  assignBlocks(Installed, Usable, Movable, GuaranteeCheck::Effort::Search);
}

auto GuaranteePlan::moveBlock(const Topology &Installed,
                              const std::vector<std::uint8_t> &Usable,
                              std::int32_t Id,
                              const std::vector<std::uint32_t> &Block) -> bool {
  const auto Overlaps = [&](const Unit &Entry) {
    return std::any_of(Entry.Block.begin(), Entry.Block.end(), [&](auto Index) {
      return std::binary_search(Block.begin(), Block.end(), Index);
    });
  };
  std::vector<std::int32_t> Displaced;
  for (const auto &[Other, Entry] : All)
    if (Other != Id && Overlaps(Entry)) {
      if (!Entry.Held.empty())
        return false;
      Displaced.push_back(Other);
    }
  auto Before = std::exchange(All.at(Id).Block, Block);
  std::vector<std::vector<std::uint32_t>> Saved;
  for (auto Other : Displaced)
    Saved.push_back(std::exchange(All.at(Other).Block, {}));
  if (Displaced.empty() || assignBlocks(Installed, Usable, Displaced,
                                        GuaranteeCheck::Effort::Greedy))
    return true;
  All.at(Id).Block = std::move(Before);
  for (std::size_t Index = 0; Index < Displaced.size(); ++Index)
    All.at(Displaced[Index]).Block = std::move(Saved[Index]);
  return false;
}

auto GuaranteePlan::rebook(const Topology &Installed,
                           const std::vector<std::uint8_t> &Usable,
                           const std::string &Account)
    -> std::map<std::int32_t, std::int32_t> {
  std::map<std::int32_t, std::int32_t> Moved;
  for (auto &[From, Larger] : All) {
    if (Larger.Account != Account || Larger.Held.empty())
      continue;
    for (auto &[To, Smaller] : All) {
      if (Smaller.Account != Account || !Smaller.Held.empty() ||
          Smaller.Size >= Larger.Size || Smaller.Size < Larger.Held.size())
        continue;
      const auto Saved = All;
      const auto DegradedBefore = degradedCount();
      std::swap(Larger.Held, Smaller.Held);
      // The shape in use gets the block around its gangs.
      Smaller.Block.clear();
      repair(Installed, Usable);
      if (degradedCount() <= DegradedBefore) {
        Moved[From] = To;
        break;
      }
      for (auto &[Id, Entry] : All)
        Entry = Saved.at(Id);
    }
  }
  return Moved;
}

auto GuaranteePlan::hold(std::int32_t Id,
                         const std::vector<std::uint32_t> &Accelerators)
    -> void {
  auto &Held = All.at(Id).Held;
  Held.insert(Held.end(), Accelerators.begin(), Accelerators.end());
}

auto GuaranteePlan::release(std::int32_t Id,
                            const std::vector<std::uint32_t> &Accelerators)
    -> void {
  const auto Found = All.find(Id);
  if (Found == All.end())
    return;
  auto &Held = Found->second.Held;
  Held.erase(std::remove_if(Held.begin(), Held.end(),
                            [&](auto Index) {
                              return std::find(Accelerators.begin(),
                                               Accelerators.end(),
                                               Index) != Accelerators.end();
                            }),
             Held.end());
}

auto GuaranteePlan::spare(std::int32_t Id) const -> std::vector<std::uint32_t> {
  const auto &Entry = All.at(Id);
  std::vector<std::uint32_t> Open;
  for (auto Index : Entry.Block)
    if (std::find(Entry.Held.begin(), Entry.Held.end(), Index) ==
        Entry.Held.end())
      Open.push_back(Index);
  return Open;
}

auto GuaranteePlan::pinned(std::uint32_t Accelerators, std::int32_t Id) const
    -> std::vector<std::uint8_t> {
  std::vector<std::uint8_t> Pinned(Accelerators, 0);
  for (const auto &[Other, Entry] : All) {
    if (Other == Id || Entry.Held.empty())
      continue;
    for (auto Index : Entry.Held)
      Pinned[Index] = 1;
    for (auto Index : Entry.Block)
      Pinned[Index] = 1;
  }
  return Pinned;
}

auto GuaranteePlan::degradedCount() const -> std::int64_t {
  return std::count_if(All.begin(), All.end(), [](const auto &Entry) {
    return Entry.second.Block.empty();
  });
}

auto GuaranteePlan::degraded() const -> std::vector<DegradedGuarantee> {
  std::vector<DegradedGuarantee> Degraded;
  for (const auto &[Id, Unit] : All) {
    if (!Unit.Block.empty())
      continue;
    const auto Known = std::find_if(Degraded.begin(), Degraded.end(),
                                    [&Unit = Unit](const auto &Entry) {
                                      return Entry.Account == Unit.Account &&
                                             Entry.Accelerators == Unit.Size;
                                    });
    if (Known != Degraded.end())
      ++Known->Count;
    else
      Degraded.push_back({Unit.Account, Unit.Size, 1});
  }
  return Degraded;
}

} // namespace jayramp
