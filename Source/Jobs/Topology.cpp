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
  Topology Built;
  for (std::uint32_t Index = 0; Index < Workers.size(); ++Index) {
    const auto &Worker = Workers[Index];
    if (Worker.Name.empty() || Worker.Accelerators == 0)
      return Error::make(ErrorKind::InvalidArgument,
                         "workers[" + Worker.Name + "]",
                         "the name is empty or it has no accelerators",
                         "list only named workers with accelerators");
    if (!Built.ByName.emplace(Worker.Name, Index).second)
      return Error::make(ErrorKind::InvalidArgument,
                         "workers[" + Worker.Name + "]",
                         "the name occurs twice", "use each name once");
    const auto First = Built.acceleratorCount();
    const auto *Before = Index > 0 ? &Workers[Index - 1] : nullptr;
    const bool NewZone = Before == nullptr ||
                         std::tie(Before->Region, Before->AvailabilityZone) !=
                             std::tie(Worker.Region, Worker.AvailabilityZone);
    if (NewZone)
      ++Built.ZoneCount;
    if (NewZone || Before->Rack != Worker.Rack) {
      Built.RackRanges.push_back({First, 0});
      Built.ZoneOfRack.push_back(Built.ZoneCount - 1);
    }
    Built.RackRanges.back().Count += Worker.Accelerators;
    Built.RackOfWorker.push_back(
        static_cast<std::uint32_t>(Built.RackRanges.size() - 1));
    Built.WorkerRanges.push_back({First, Worker.Accelerators});
    Built.WorkerOf.insert(Built.WorkerOf.end(), Worker.Accelerators, Index);
    Built.LargestWorker = std::max(Built.LargestWorker, Worker.Accelerators);
  }
  const auto Racks = static_cast<std::uint32_t>(Built.RackRanges.size());
  Built.LargestRun.assign(Racks + 1, 0);
  for (std::uint32_t First = 0; First < Racks; ++First) {
    std::uint32_t Sum = 0;
    for (std::uint32_t Last = First;
         Last < Racks && Built.ZoneOfRack[Last] == Built.ZoneOfRack[First];
         ++Last) {
      Sum += Built.RackRanges[Last].Count;
      auto &Largest = Built.LargestRun[Last - First + 1];
      Largest = std::max(Largest, Sum);
    }
  }
  Built.LargestRack = Built.LargestRun[1];
  Built.Workers = std::move(Workers);
  return Built;
}

auto Topology::findWorker(const std::string &Name) const
    -> std::optional<std::uint32_t> {
  const auto Found = ByName.find(Name);
  if (Found == ByName.end())
    return std::nullopt;
  return Found->second;
}

auto Topology::scopeOf(std::uint32_t Size) const -> std::optional<ShapeScope> {
  if (Size <= LargestWorker)
    return ShapeScope{ShapeScope::Level::Worker, 1};
  if (Size <= LargestRack)
    return ShapeScope{ShapeScope::Level::Rack, 1};
  for (std::uint32_t Racks = 2; Racks < LargestRun.size(); ++Racks)
    if (Size <= LargestRun[Racks])
      return ShapeScope{ShapeScope::Level::RackRun, Racks};
  return std::nullopt;
}

auto Topology::ranges(const ShapeScope &Scope) const -> std::vector<Range> {
  switch (Scope.Unit) {
  case ShapeScope::Level::Worker:
    return WorkerRanges;
  case ShapeScope::Level::Rack:
    return RackRanges;
  case ShapeScope::Level::Anywhere:
    return {{0, acceleratorCount()}};
  case ShapeScope::Level::RackRun:
    break;
  }
  std::vector<Range> Runs;
  for (std::uint32_t First = 0; First + Scope.Racks <= RackRanges.size();
       ++First) {
    const auto Last = First + Scope.Racks - 1;
    if (ZoneOfRack[First] == ZoneOfRack[Last])
      Runs.push_back({RackRanges[First].First, RackRanges[Last].First +
                                                   RackRanges[Last].Count -
                                                   RackRanges[First].First});
  }
  return Runs;
}

} // namespace jayramp
