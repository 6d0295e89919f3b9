#pragma once

#include "Base/Result.h"
#include "Jobs/ShapeScope.h"
#include "Jobs/WorkerDescription.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jayramp {

/// Immutable tree region > availability zone > rack > worker > accelerator.
/// Workers are sorted by region, zone, rack and name, and accelerators are
/// numbered through in that order, so each worker, rack and zone is a range of
/// accelerator numbers, and racks whose numbers differ by one within a zone
/// are neighbours.
class Topology {
public:
  /// Largest gang that a job may ask for.
  static constexpr std::uint32_t MaxGangSize = 64;

  /// A range of accelerators [First, First + Count).
  struct Range {
    std::uint32_t First = 0;
    std::uint32_t Count = 0;

    auto operator==(const Range &) const -> bool = default;
  };

  /// InvalidArgument for an empty list, a worker without name or accelerators
  /// or a name that occurs twice.
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
  /// Index of the zone of each rack.
  auto zoneOfRack() const -> const std::vector<std::uint32_t> & {
    return ZoneOfRack;
  }
  auto zoneCount() const -> std::uint32_t { return ZoneCount; }

  auto workerOf(std::uint32_t Accelerator) const -> std::uint32_t {
    return WorkerOf[Accelerator];
  }
  auto rackOfWorker(std::uint32_t Worker) const -> std::uint32_t {
    return RackOfWorker[Worker];
  }
  auto findWorker(const std::string &Name) const
      -> std::optional<std::uint32_t>;

  /// Where \p Size adjacent accelerators have to be. Depends on what is
  /// installed, not on what is live, so that the loss of a worker does not
  /// change the meaning of a guarantee. Nothing if no layout holds them.
  auto scopeOf(std::uint32_t Size) const -> std::optional<ShapeScope>;

  /// Accelerator ranges that may hold a shape of this scope.
  auto ranges(const ShapeScope &Scope) const -> std::vector<Range>;

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
  std::unordered_map<std::string, std::uint32_t> ByName;
  std::uint32_t LargestWorker = 0;
  std::uint32_t LargestRack = 0;
  /// LargestRun[k]: accelerators of the largest run of k neighbouring racks.
  std::vector<std::uint32_t> LargestRun;
};

} // namespace jayramp
