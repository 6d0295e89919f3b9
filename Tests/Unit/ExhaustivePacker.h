#pragma once

#include "Jobs/Topology.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace jayramp {

/// Decides by exhaustive search whether shapes fit, independently of
/// GuaranteeCheck. Only for small topologies.
class ExhaustivePacker {
public:
  ExhaustivePacker(const Topology &Cluster,
                   const std::vector<std::uint8_t> &IsFree)
      : Cluster(Cluster) {
    FreeByWorker.resize(Cluster.workers().size());
    for (std::uint32_t Index = 0; Index < IsFree.size(); ++Index)
      FreeByWorker[Cluster.workerOf(Index)] += IsFree[Index];
  }

  /// Returns true if all shapes fit into the free accelerators at the same
  /// time.
  auto fits(std::vector<std::uint32_t> Shapes) -> bool {
    // In ascending order, shapes that must be on one worker come first.
    std::sort(Shapes.begin(), Shapes.end());
    return placeFrom(Shapes, 0);
  }

private:
  /// Places the shapes from \p Depth on; returns true if all of them fit.
  auto placeFrom(const std::vector<std::uint32_t> &Shapes, std::size_t Depth)
      -> bool {
    if (Depth == Shapes.size())
      return true;
    const auto Domain = Cluster.smallestDomainFor(Shapes[Depth]);
    if (!Domain)
      return false;
    for (const auto &Range : Cluster.rangesOf(*Domain)) {
      const auto First = Cluster.workerOf(Range.First);
      const auto Last = Cluster.workerOf(Range.First + Range.Count - 1);
      if (distributeOverWorkers(Shapes, Depth, First, Last, Shapes[Depth]))
        return true;
    }
    return false;
  }

  /// Takes the \p Missing accelerators of shape \p Depth from the workers \p
  /// Worker to \p Last, then places the remaining shapes.
  auto distributeOverWorkers(const std::vector<std::uint32_t> &Shapes,
                             std::size_t Depth, std::uint32_t Worker,
                             std::uint32_t Last, std::uint32_t Missing)
      -> bool {
    if (Missing == 0)
      return placeFrom(Shapes, Depth + 1);
    if (Worker > Last)
      return false;
    const auto MaxTaken = std::min(FreeByWorker[Worker], Missing);
    for (std::uint32_t Taken = 0; Taken <= MaxTaken; ++Taken) {
      FreeByWorker[Worker] -= Taken;
      const bool Found = distributeOverWorkers(Shapes, Depth, Worker + 1, Last,
                                               Missing - Taken);
      FreeByWorker[Worker] += Taken;
      if (Found)
        return true;
    }
    return false;
  }

  const Topology &Cluster;
  std::vector<std::uint32_t> FreeByWorker;
};

} // namespace jayramp
