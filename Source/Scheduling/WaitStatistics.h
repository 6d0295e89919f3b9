#pragma once

#include "Base/Clock.h"
#include "Scheduling/WaitReason.h"

#include <cstdint>
#include <map>
#include <optional>

namespace jayramp::scheduling {

class ShardScheduler;

/// Tasks that wait for the same reason.
struct WaitTotals {
  std::uint64_t Tasks = 0;
  double LongestSeconds = 0; ///< Since the turn of their steps came.

  auto operator==(const WaitTotals &) const -> bool = default;
};

/// The waiting tasks whose turn has come, by reason. The ones that have not
/// waited long enough to be diagnosed have none.
using WaitStatistics = std::map<std::optional<WaitReason>, WaitTotals>;

auto collectWaitStatistics(const ShardScheduler &Scheduler, TimePoint Now)
    -> WaitStatistics;

} // namespace jayramp::scheduling
