#pragma once

#include "Base/Result.h"
#include "Jobs/TopologyDomain.h"
#include "Jobs/WorkerDescription.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jayramp {

/// Immutable tree of regions, availability zones, racks, workers and
/// accelerators. Workers are sorted by region, zone, rack and name, and
/// accelerators are numbered consecutively in that order. So each worker, rack
/// and zone is a range of accelerator numbers, and racks of a zone whose
/// numbers differ by one are neighbours.
class Topology {
public:
  /// Maximum number of accelerators in a gang.
  static constexpr std::uint32_t MaxGangSize = 64;

  /// A range of accelerators [First, First + Count).
  struct Range {
    std::uint32_t First = 0;
    std::uint32_t Count = 0;

    auto operator==(const Range &) const -> bool = default;
  };

  /// Returns InvalidArgument if the list is empty, a worker has no name or no
  /// accelerators, or a name occurs twice.
  static auto make(std::vector<WorkerDescription> Workers) -> Result<Topology>;

  auto acceleratorCount() const -> std::uint32_t {
    return static_cast<std::uint32_t>(WorkerOf.size());
  }
  auto workers() const -> const std::vector<WorkerDescription> & {
    return Workers;
  }
  auto workerRanges() const -> const std::vector<Range> & {
    return WorkerRanges;
  }
  auto rackRanges() const -> const std::vector<Range> & { return RackRanges; }
  /// Returns the index of the availability zone of each rack.
  auto zoneOfRack() const -> const std::vector<std::uint32_t> & {
    return ZoneOfRack;
  }
  auto zoneCount() const -> std::uint32_t { return ZoneCount; }

  /// Returns the index of the worker that has the accelerator.
  auto workerOf(std::uint32_t Accelerator) const -> std::uint32_t {
    return WorkerOf[Accelerator];
  }
  /// Returns the index of the rack that has the worker.
  auto rackOfWorker(std::uint32_t Worker) const -> std::uint32_t {
    return RackOfWorker[Worker];
  }
  /// Returns the index of the worker, or nullopt if there is none.
  auto findWorker(const std::string &Name) const
      -> std::optional<std::uint32_t>;

  /// Returns the smallest kind of domain that can hold \p Size adjacent
  /// accelerators, or nullopt if none can. The result depends on all workers of
  /// the topology, also on those that are not live, so that the loss of a
  /// worker does not change the meaning of a guarantee.
  auto smallestDomainFor(std::uint32_t Size) const
      -> std::optional<TopologyDomain>;

  /// Returns the accelerator ranges of all domains of this kind.
  auto rangesOf(const TopologyDomain &Domain) const -> std::vector<Range>;

  auto operator==(const Topology &) const -> bool = default;

private:
  Topology() = default;

  std::vector<WorkerDescription> Workers;
  std::vector<Range> WorkerRanges;
  std::vector<Range> RackRanges;
  std::vector<std::uint32_t> WorkerOf;
  std::vector<std::uint32_t> RackOfWorker;
  std::vector<std::uint32_t> ZoneOfRack;
  std::uint32_t ZoneCount = 0;
  std::unordered_map<std::string, std::uint32_t> WorkerByName;
  std::uint32_t LargestWorkerSize = 0;
  std::uint32_t LargestRackSize = 0;
  /// LargestRackRunSize[k] is the number of accelerators in the largest run of
  /// k neighbouring racks.
  std::vector<std::uint32_t> LargestRackRunSize;
};

} // namespace jayramp
