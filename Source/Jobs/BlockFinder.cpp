#include "Jobs/BlockFinder.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace jayramp {
namespace {

using Range = Topology::Range;

/// Prefix sums over the accelerators, to count the free and the stoppable ones
/// of a range in constant time.
class FreeCounts {
public:
  explicit FreeCounts(const BlockFinder::Occupancy &CurrentOccupancy)
      : Free(CurrentOccupancy.size() + 1),
        Stoppable(CurrentOccupancy.size() + 1) {
    for (std::size_t Index = 0; Index < CurrentOccupancy.size(); ++Index) {
      Free[Index + 1] =
          Free[Index] + (CurrentOccupancy[Index] == BlockFinder::Free ? 1 : 0);
      Stoppable[Index + 1] =
          Stoppable[Index] + (CurrentOccupancy[Index] >= 0 ? 1 : 0);
    }
  }

  auto freeCount(const Range &SearchRange) const -> std::uint32_t {
    return Free[SearchRange.First + SearchRange.Count] -
           Free[SearchRange.First];
  }
  auto stoppableCount(const Range &SearchRange) const -> std::uint32_t {
    return Stoppable[SearchRange.First + SearchRange.Count] -
           Stoppable[SearchRange.First];
  }

private:
  std::vector<std::uint32_t> Free;
  std::vector<std::uint32_t> Stoppable;
};

/// Returns for each rack the number of free accelerators in the emptiest
/// neighbourhood that contains the rack. A neighbourhood is a run of as many
/// racks as the largest gang needs. Placing work where this number is low keeps
/// the emptiest neighbourhood free for large gangs.
auto freeInNeighbourhood(const Topology &Cluster, const FreeCounts &Counts)
    -> std::vector<std::int64_t> {
  const auto &Racks = Cluster.rackRanges();
  const auto &Zones = Cluster.zoneOfRack();
  const auto Domain = Cluster.smallestDomainFor(Topology::MaxGangSize);
  const std::size_t Length =
      Domain && Domain->Kind == TopologyDomain::Level::NeighbouringRacks
          ? Domain->RackCount
          : 1;
  std::vector<std::int64_t> Free(Racks.size(), 0);
  for (std::size_t First = 0; First < Racks.size(); ++First) {
    // A neighbourhood does not extend beyond its availability zone.
    auto Last = std::min(First + Length, Racks.size()) - 1;
    while (Zones[Last] != Zones[First])
      --Last;
    const Range SearchRange{Racks[First].First, Racks[Last].First +
                                                    Racks[Last].Count -
                                                    Racks[First].First};
    for (auto Rack = First; Rack <= Last; ++Rack)
      Free[Rack] = std::max(
          Free[Rack], static_cast<std::int64_t>(Counts.freeCount(SearchRange)));
  }
  return Free;
}

/// Returns the smallest set of gangs in the range that hold \p Needed
/// accelerators there. If a single gang is enough, the youngest such gang is
/// chosen; otherwise the gang with the most accelerators is taken first, which
/// keeps the number of gangs minimal.
auto chooseVictims(const BlockFinder::Occupancy &CurrentOccupancy,
                   const Range &SearchRange, std::uint32_t Needed)
    -> std::vector<std::int64_t> {
  std::vector<std::pair<std::int64_t, std::uint32_t>> Gangs;
  std::vector<std::int64_t> Held;
  for (auto Index = SearchRange.First;
       Index < SearchRange.First + SearchRange.Count; ++Index)
    if (CurrentOccupancy[Index] >= 0)
      Held.push_back(CurrentOccupancy[Index]);
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

/// A range that can hold the block, with its sort key; the lowest rank is best.
struct BlockFinder::Candidate {
  std::array<std::int64_t, 6> Rank{};
  Range SearchRange;
  std::vector<std::int64_t> Victims;
};

auto BlockFinder::make(const Topology &Cluster, PlacementRule Rule)
    -> BlockFinder {
  return {Cluster, Rule};
}

auto BlockFinder::findCandidates(const Request &BlockRequest,
                                 const Occupancy &CurrentOccupancy,
                                 std::size_t Limit) const
    -> std::vector<Block> {
  const auto Domain = BlockRequest.Adjacent
                          ? Cluster->smallestDomainFor(BlockRequest.Size)
                          : std::optional(TopologyDomain{
                                TopologyDomain::Level::WholeTopology, 1});
  if (!Domain || BlockRequest.Required.size() > BlockRequest.Size)
    return {};
  const FreeCounts Counts(CurrentOccupancy);
  const auto &Racks = Cluster->rackRanges();
  const auto FreeInNeighbourhood = freeInNeighbourhood(*Cluster, Counts);

  std::vector<Candidate> Candidates;
  for (const auto &SearchRange : Cluster->rangesOf(*Domain)) {
    const auto FreeInRange = Counts.freeCount(SearchRange);
    if (FreeInRange + Counts.stoppableCount(SearchRange) < BlockRequest.Size)
      continue;
    if (!std::all_of(BlockRequest.Required.begin(), BlockRequest.Required.end(),
                     [&](auto Index) {
                       return Index >= SearchRange.First &&
                              Index - SearchRange.First < SearchRange.Count;
                     }))
      continue;
    Candidate Next;
    Next.SearchRange = SearchRange;
    if (FreeInRange < BlockRequest.Size)
      Next.Victims = chooseVictims(CurrentOccupancy, SearchRange,
                                   BlockRequest.Size - FreeInRange);
    const auto Position = static_cast<std::int64_t>(SearchRange.First);
    if (Rule == PlacementRule::FirstFit) {
      Next.Rank = {Position};
    } else {
      const auto Rack =
          Cluster->rackOfWorker(Cluster->workerOf(SearchRange.First));
      const auto Oldest =
          Next.Victims.empty()
              ? 0
              : *std::min_element(Next.Victims.begin(), Next.Victims.end());
      Next.Rank = {static_cast<std::int64_t>(Next.Victims.size()),
                   -Oldest,
                   FreeInNeighbourhood[Rack],
                   static_cast<std::int64_t>(Counts.freeCount(Racks[Rack])),
                   static_cast<std::int64_t>(FreeInRange) - BlockRequest.Size,
                   Position};
    }
    Candidates.push_back(std::move(Next));
  }
  const auto Count = std::min(Limit, Candidates.size());
  std::partial_sort(Candidates.begin(),
                    Candidates.begin() + static_cast<long>(Count),
                    Candidates.end(), [](const auto &Left, const auto &Right) {
                      return Left.Rank < Right.Rank;
                    });
  std::vector<Block> Blocks;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Blocks.push_back(chooseAccelerators(
        BlockRequest, CurrentOccupancy, Candidates[Index].SearchRange,
        Candidates[Index].Victims, FreeInNeighbourhood));
  return Blocks;
}

auto BlockFinder::chooseAccelerators(
    const Request &BlockRequest, const Occupancy &CurrentOccupancy,
    const Range &SearchRange, const std::vector<std::int64_t> &Victims,
    const std::vector<std::int64_t> &FreeInNeighbourhood) const -> Block {
  Block Chosen;
  Chosen.Victims = Victims;
  Chosen.Accelerators = BlockRequest.Required;
  std::vector<std::uint32_t> FreeAccelerators;
  for (auto Index = SearchRange.First;
       Index < SearchRange.First + SearchRange.Count; ++Index)
    if (CurrentOccupancy[Index] == Free &&
        std::find(BlockRequest.Required.begin(), BlockRequest.Required.end(),
                  Index) == BlockRequest.Required.end())
      FreeAccelerators.push_back(Index);
  if (Rule == PlacementRule::SmallestBlock) {
    // Use up the workers and racks with the fewest free accelerators first, so
    // that the emptiest ones stay free.
    std::vector<std::uint32_t> FreeOnWorker(Cluster->workers().size(), 0);
    std::vector<std::uint32_t> FreeInRack(Cluster->rackRanges().size(), 0);
    for (auto Index : FreeAccelerators) {
      const auto Worker = Cluster->workerOf(Index);
      ++FreeOnWorker[Worker];
      ++FreeInRack[Cluster->rackOfWorker(Worker)];
    }
    std::stable_sort(
        FreeAccelerators.begin(), FreeAccelerators.end(),
        [&](auto Left, auto Right) {
          const auto LeftWorker = Cluster->workerOf(Left);
          const auto RightWorker = Cluster->workerOf(Right);
          const auto LeftRack = Cluster->rackOfWorker(LeftWorker);
          const auto RightRack = Cluster->rackOfWorker(RightWorker);
          return std::make_tuple(FreeInNeighbourhood[LeftRack],
                                 FreeInRack[LeftRack], FreeOnWorker[LeftWorker],
                                 LeftWorker) <
                 std::make_tuple(FreeInNeighbourhood[RightRack],
                                 FreeInRack[RightRack],
                                 FreeOnWorker[RightWorker], RightWorker);
        });
  }
  for (auto Gang : Victims)
    for (auto Index = SearchRange.First;
         Index < SearchRange.First + SearchRange.Count; ++Index)
      if (CurrentOccupancy[Index] == Gang)
        FreeAccelerators.push_back(Index);
  const auto Missing = BlockRequest.Size - Chosen.Accelerators.size();
  Chosen.Accelerators.insert(
      Chosen.Accelerators.end(), FreeAccelerators.begin(),
      FreeAccelerators.begin() + static_cast<long>(Missing));
  std::sort(Chosen.Accelerators.begin(), Chosen.Accelerators.end());
  return Chosen;
}

auto BlockFinder::findBest(const Request &BlockRequest,
                           const Occupancy &CurrentOccupancy) const
    -> std::optional<Block> {
  auto Found = findCandidates(BlockRequest, CurrentOccupancy, 1);
  if (Found.empty())
    return std::nullopt;
  return std::move(Found.front());
}

auto BlockFinder::largestFreeBlockSize(const Occupancy &CurrentOccupancy,
                                       std::uint32_t Limit) const
    -> std::uint32_t {
  const FreeCounts Counts(CurrentOccupancy);
  for (auto Size = Limit; Size > 0; --Size) {
    const auto Domain = Cluster->smallestDomainFor(Size);
    if (!Domain)
      continue;
    for (const auto &SearchRange : Cluster->rangesOf(*Domain))
      if (Counts.freeCount(SearchRange) >= Size)
        return Size;
  }
  return 0;
}

} // namespace jayramp
