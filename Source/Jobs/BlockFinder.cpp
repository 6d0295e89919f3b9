#include "Jobs/BlockFinder.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace jayramp {
namespace {

using Range = Topology::Range;

/// Running sums over accelerators, to count free ones in a range.
class FreeCounts {
public:
  explicit FreeCounts(const BlockFinder::Occupancy &Current)
      : Free(Current.size() + 1), Stoppable(Current.size() + 1) {
    for (std::size_t Index = 0; Index < Current.size(); ++Index) {
      Free[Index + 1] =
          Free[Index] + (Current[Index] == BlockFinder::Free ? 1 : 0);
      Stoppable[Index + 1] = Stoppable[Index] + (Current[Index] >= 0 ? 1 : 0);
    }
  }

  auto free(const Range &In) const -> std::uint32_t {
    return Free[In.First + In.Count] - Free[In.First];
  }
  auto stoppable(const Range &In) const -> std::uint32_t {
    return Stoppable[In.First + In.Count] - Stoppable[In.First];
  }

private:
  std::vector<std::uint32_t> Free;
  std::vector<std::uint32_t> Stoppable;
};

/// For each rack, the free accelerators of the emptiest neighbourhood that it
/// belongs to, where a neighbourhood is as long as the largest gang needs.
/// Placing work where this is low keeps the emptiest neighbourhood free.
auto neighbourhoodFree(const Topology &Installed, const FreeCounts &Counts)
    -> std::vector<std::int64_t> {
  const auto &Racks = Installed.rackRanges();
  const auto &Zones = Installed.zoneOfRack();
  const auto Scope = Installed.scopeOf(Topology::MaxGangSize);
  const std::size_t Length =
      Scope && Scope->Unit == ShapeScope::Level::RackRun ? Scope->Racks : 1;
  std::vector<std::int64_t> Free(Racks.size(), 0);
  for (std::size_t First = 0; First < Racks.size(); ++First) {
    // At the end of a zone the neighbourhood is cut short.
    auto Last = std::min(First + Length, Racks.size()) - 1;
    while (Zones[Last] != Zones[First])
      --Last;
    const Range In{Racks[First].First,
                   Racks[Last].First + Racks[Last].Count - Racks[First].First};
    for (auto Rack = First; Rack <= Last; ++Rack)
      Free[Rack] =
          std::max(Free[Rack], static_cast<std::int64_t>(Counts.free(In)));
  }
  return Free;
}

/// Fewest gangs in the range that hold \p Needed accelerators there. A single
/// gang that is enough is chosen as young as possible, otherwise the largest
/// goes first, which keeps the number of gangs minimal.
auto chooseVictims(const BlockFinder::Occupancy &Current, const Range &In,
                   std::uint32_t Needed) -> std::vector<std::int64_t> {
  std::vector<std::pair<std::int64_t, std::uint32_t>> Gangs;
  std::vector<std::int64_t> Held;
  for (auto Index = In.First; Index < In.First + In.Count; ++Index)
    if (Current[Index] >= 0)
      Held.push_back(Current[Index]);
  std::sort(Held.begin(), Held.end(), std::greater<>());
  for (auto Gang : Held) {
    if (Gangs.empty() || Gangs.back().first != Gang)
      Gangs.emplace_back(Gang, 0);
    ++Gangs.back().second;
  }
  std::vector<std::int64_t> Victims;
  while (Needed > 0 && !Gangs.empty()) {
    auto Chosen =
        std::find_if(Gangs.begin(), Gangs.end(),
                     [&](const auto &Gang) { return Gang.second >= Needed; });
    if (Chosen == Gangs.end())
      Chosen = std::max_element(Gangs.begin(), Gangs.end(),
                                [](const auto &Left, const auto &Right) {
                                  return Left.second < Right.second;
                                });
    Needed -= std::min(Needed, Chosen->second);
    Victims.push_back(Chosen->first);
    Gangs.erase(Chosen);
  }
  return Victims;
}

} // namespace

/// A range that can hold the block, with its rank; lower is better.
struct BlockFinder::Candidate {
  std::array<std::int64_t, 6> Rank{};
  Range In;
  std::vector<std::int64_t> Victims;
};

auto BlockFinder::make(const Topology &Installed, PlacementRule Rule)
    -> BlockFinder {
  return {Installed, Rule};
}

auto BlockFinder::findCandidates(const Request &Wanted,
                                 const Occupancy &Current,
                                 std::size_t Limit) const
    -> std::vector<Block> {
  const auto Scope =
      Wanted.Adjacent
          ? Installed->scopeOf(Wanted.Size)
          : std::optional(ShapeScope{ShapeScope::Level::Anywhere, 1});
  if (!Scope || Wanted.Include.size() > Wanted.Size)
    return {};
  const FreeCounts Counts(Current);
  const auto &Racks = Installed->rackRanges();
  const auto Nearby = neighbourhoodFree(*Installed, Counts);

  std::vector<Candidate> Found;
  for (const auto &In : Installed->ranges(*Scope)) {
    const auto FreeHere = Counts.free(In);
    if (FreeHere + Counts.stoppable(In) < Wanted.Size)
      continue;
    if (!std::all_of(Wanted.Include.begin(), Wanted.Include.end(),
                     [&](auto Index) {
                       return Index >= In.First && Index - In.First < In.Count;
                     }))
      continue;
    Candidate Next;
    Next.In = In;
    if (FreeHere < Wanted.Size)
      Next.Victims = chooseVictims(Current, In, Wanted.Size - FreeHere);
    const auto Position = static_cast<std::int64_t>(In.First);
    if (Rule == PlacementRule::FirstFit) {
      Next.Rank = {Position};
    } else {
      const auto Rack = Installed->rackOfWorker(Installed->workerOf(In.First));
      const auto Oldest =
          Next.Victims.empty()
              ? 0
              : *std::min_element(Next.Victims.begin(), Next.Victims.end());
      Next.Rank = {static_cast<std::int64_t>(Next.Victims.size()),
                   -Oldest,
                   Nearby[Rack],
                   static_cast<std::int64_t>(Counts.free(Racks[Rack])),
                   static_cast<std::int64_t>(FreeHere) - Wanted.Size,
                   Position};
    }
    Found.push_back(std::move(Next));
  }
  const auto Count = std::min(Limit, Found.size());
  std::partial_sort(Found.begin(), Found.begin() + static_cast<long>(Count),
                    Found.end(), [](const auto &Left, const auto &Right) {
                      return Left.Rank < Right.Rank;
                    });
  std::vector<Block> Blocks;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Blocks.push_back(
        choose(Wanted, Current, Found[Index].In, Found[Index].Victims, Nearby));
  return Blocks;
}

auto BlockFinder::choose(const Request &Wanted, const Occupancy &Current,
                         const Range &In,
                         const std::vector<std::int64_t> &Victims,
                         const std::vector<std::int64_t> &Nearby) const
    -> Block {
  Block Chosen;
  Chosen.Victims = Victims;
  Chosen.Accelerators = Wanted.Include;
  std::vector<std::uint32_t> Open;
  for (auto Index = In.First; Index < In.First + In.Count; ++Index)
    if (Current[Index] == Free &&
        std::find(Wanted.Include.begin(), Wanted.Include.end(), Index) ==
            Wanted.Include.end())
      Open.push_back(Index);
  if (Rule == PlacementRule::SmallestBlock) {
    // Workers with the fewest free accelerators are used up first, so that the
    // emptiest workers and racks stay whole.
    std::vector<std::uint32_t> OnWorker(Installed->workers().size(), 0);
    std::vector<std::uint32_t> InRack(Installed->rackRanges().size(), 0);
    for (auto Index : Open) {
      const auto Worker = Installed->workerOf(Index);
      ++OnWorker[Worker];
      ++InRack[Installed->rackOfWorker(Worker)];
    }
    std::stable_sort(Open.begin(), Open.end(), [&](auto Left, auto Right) {
      const auto LeftWorker = Installed->workerOf(Left);
      const auto RightWorker = Installed->workerOf(Right);
      const auto LeftRack = Installed->rackOfWorker(LeftWorker);
      const auto RightRack = Installed->rackOfWorker(RightWorker);
      return std::make_tuple(Nearby[LeftRack], InRack[LeftRack],
                             OnWorker[LeftWorker], LeftWorker) <
             std::make_tuple(Nearby[RightRack], InRack[RightRack],
                             OnWorker[RightWorker], RightWorker);
    });
  }
  for (auto Gang : Victims)
    for (auto Index = In.First; Index < In.First + In.Count; ++Index)
      if (Current[Index] == Gang)
        Open.push_back(Index);
  const auto Missing = Wanted.Size - Chosen.Accelerators.size();
  Chosen.Accelerators.insert(Chosen.Accelerators.end(), Open.begin(),
                             Open.begin() + static_cast<long>(Missing));
  std::sort(Chosen.Accelerators.begin(), Chosen.Accelerators.end());
  return Chosen;
}

auto BlockFinder::findBest(const Request &Wanted,
                           const Occupancy &Current) const
    -> std::optional<Block> {
  auto Found = findCandidates(Wanted, Current, 1);
  if (Found.empty())
    return std::nullopt;
  return std::move(Found.front());
}

auto BlockFinder::largestFreeBlockSize(const Occupancy &Current,
                                       std::uint32_t Limit) const
    -> std::uint32_t {
  const FreeCounts Counts(Current);
  for (auto Size = Limit; Size > 0; --Size) {
    const auto Scope = Installed->scopeOf(Size);
    if (!Scope)
      continue;
    for (const auto &In : Installed->ranges(*Scope))
      if (Counts.free(In) >= Size)
        return Size;
  }
  return 0;
}

} // namespace jayramp
