#pragma once

#include "Jobs/Topology.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace jayramp {

/// Exact packing by exhaustive search, independent of GuaranteeCheck. Only for
/// small topologies.
class ExactPacking {
public:
  ExactPacking(const Topology &Installed, const std::vector<std::uint8_t> &Open)
      : Installed(Installed) {
    Free.resize(Installed.workers().size());
    for (std::uint32_t Index = 0; Index < Open.size(); ++Index)
      Free[Installed.workerOf(Index)] += Open[Index];
  }

  auto fits(std::vector<std::uint32_t> Shapes) -> bool {
    // Ascending sizes put shapes of narrow scope first.
    std::sort(Shapes.begin(), Shapes.end());
    return extend(Shapes, 0);
  }

private:
  auto extend(const std::vector<std::uint32_t> &Shapes, std::size_t Depth)
      -> bool {
    if (Depth == Shapes.size())
      return true;
    const auto Scope = Installed.scopeOf(Shapes[Depth]);
    if (!Scope)
      return false;
    for (const auto &Range : Installed.ranges(*Scope)) {
      const auto First = Installed.workerOf(Range.First);
      const auto Last = Installed.workerOf(Range.First + Range.Count - 1);
      if (distribute(Shapes, Depth, First, Last, Shapes[Depth]))
        return true;
    }
    return false;
  }

  auto distribute(const std::vector<std::uint32_t> &Shapes, std::size_t Depth,
                  std::uint32_t Worker, std::uint32_t Last,
                  std::uint32_t Missing) -> bool {
    if (Missing == 0)
      return extend(Shapes, Depth + 1);
    if (Worker > Last)
      return false;
    const auto Most = std::min(Free[Worker], Missing);
    for (std::uint32_t Taken = 0; Taken <= Most; ++Taken) {
      Free[Worker] -= Taken;
      const bool Found =
          distribute(Shapes, Depth, Worker + 1, Last, Missing - Taken);
      Free[Worker] += Taken;
      if (Found)
        return true;
    }
    return false;
  }

  const Topology &Installed;
  std::vector<std::uint32_t> Free;
};

} // namespace jayramp
