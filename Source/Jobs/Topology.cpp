#include "Jobs/Topology.h"

#include <algorithm>
#include <tuple>

namespace jayramp {

auto Topology::make(std::vector<WorkerDescription> Workers)
    -> Result<Topology> {
  if (Workers.empty())
    return Error::make(ErrorKind::InvalidArgument, "workers",
                       "the list is empty", "list at least one worker");
  const auto Position = [](const WorkerDescription &Worker) {
    return std::tie(Worker.Region, Worker.AvailabilityZone, Worker.Rack,
                    Worker.Name);
  };
  std::sort(Workers.begin(), Workers.end(),
            [&](const auto &Left, const auto &Right) {
              return Position(Left) < Position(Right);
            });
  Topology NewTopology;
  for (std::uint32_t Index = 0; Index < Workers.size(); ++Index) {
    const auto &Worker = Workers[Index];
    if (Worker.Name.empty() || Worker.Accelerators == 0)
      return Error::make(
          ErrorKind::InvalidArgument, "workers[" + Worker.Name + "]",
          "the name is empty or the worker has no accelerators",
          "list only workers with a name and at least one accelerator");
    if (!NewTopology.WorkerByName.emplace(Worker.Name, Index).second)
      return Error::make(ErrorKind::InvalidArgument,
                         "workers[" + Worker.Name + "]",
                         "the name occurs twice", "list each worker once");
    const auto First = NewTopology.acceleratorCount();
    const auto *Previous = Index > 0 ? &Workers[Index - 1] : nullptr;
    const bool NewZone =
        Previous == nullptr ||
        std::tie(Previous->Region, Previous->AvailabilityZone) !=
            std::tie(Worker.Region, Worker.AvailabilityZone);
    if (NewZone)
      ++NewTopology.ZoneCount;
    if (NewZone || Previous->Rack != Worker.Rack) {
      NewTopology.RackRanges.push_back({First, 0});
      NewTopology.ZoneOfRack.push_back(NewTopology.ZoneCount - 1);
    }
    NewTopology.RackRanges.back().Count += Worker.Accelerators;
    NewTopology.RackOfWorker.push_back(
        static_cast<std::uint32_t>(NewTopology.RackRanges.size() - 1));
    NewTopology.WorkerRanges.push_back({First, Worker.Accelerators});
    NewTopology.WorkerOf.insert(NewTopology.WorkerOf.end(), Worker.Accelerators,
                                Index);
    NewTopology.LargestWorkerSize =
        std::max(NewTopology.LargestWorkerSize, Worker.Accelerators);
  }
  const auto Racks = static_cast<std::uint32_t>(NewTopology.RackRanges.size());
  NewTopology.LargestRackRunSize.assign(Racks + 1, 0);
  for (std::uint32_t First = 0; First < Racks; ++First) {
    std::uint32_t Sum = 0;
    for (std::uint32_t Last = First;
         Last < Racks &&
         NewTopology.ZoneOfRack[Last] == NewTopology.ZoneOfRack[First];
         ++Last) {
      Sum += NewTopology.RackRanges[Last].Count;
      auto &Largest = NewTopology.LargestRackRunSize[Last - First + 1];
      Largest = std::max(Largest, Sum);
    }
  }
  NewTopology.LargestRackSize = NewTopology.LargestRackRunSize[1];
  NewTopology.Workers = std::move(Workers);
  return NewTopology;
}

auto Topology::findWorker(const std::string &Name) const
    -> std::optional<std::uint32_t> {
  const auto Found = WorkerByName.find(Name);
  if (Found == WorkerByName.end())
    return std::nullopt;
  return Found->second;
}

auto Topology::smallestDomainFor(std::uint32_t Size) const
    -> std::optional<TopologyDomain> {
  if (Size <= LargestWorkerSize)
    return TopologyDomain{TopologyDomain::Level::Worker, 1};
  if (Size <= LargestRackSize)
    return TopologyDomain{TopologyDomain::Level::Rack, 1};
  for (std::uint32_t Racks = 2; Racks < LargestRackRunSize.size(); ++Racks)
    if (Size <= LargestRackRunSize[Racks])
      return TopologyDomain{TopologyDomain::Level::NeighbouringRacks, Racks};
  return std::nullopt;
}

auto Topology::rangesOf(const TopologyDomain &Domain) const
    -> std::vector<Range> {
  switch (Domain.Kind) {
  case TopologyDomain::Level::Worker:
    return WorkerRanges;
  case TopologyDomain::Level::Rack:
    return RackRanges;
  case TopologyDomain::Level::WholeTopology:
    return {{0, acceleratorCount()}};
  case TopologyDomain::Level::NeighbouringRacks:
    break;
  }
  std::vector<Range> Runs;
  for (std::uint32_t First = 0; First + Domain.RackCount <= RackRanges.size();
       ++First) {
    const auto Last = First + Domain.RackCount - 1;
    if (ZoneOfRack[First] == ZoneOfRack[Last])
      Runs.push_back({RackRanges[First].First, RackRanges[Last].First +
                                                   RackRanges[Last].Count -
                                                   RackRanges[First].First});
  }
  return Runs;
}

} // namespace jayramp
