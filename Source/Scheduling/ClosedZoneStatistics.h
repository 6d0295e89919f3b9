#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace jayramp::scheduling {

class ShardScheduler;

/// What is left in a closed availability zone.
struct ClosedZoneUse {
  std::size_t Workers = 0; ///< Registered workers of the shard.
  std::size_t Runs = 0;    ///< Runs that may be alive.

  auto operator==(const ClosedZoneUse &) const -> bool = default;
};

/// Counts, for each closed zone, the workers and runs of the shard that are in
/// it. Zones without workers are included.
auto collectClosedZoneStatistics(const ShardScheduler &Scheduler)
    -> std::map<std::string, ClosedZoneUse>;

} // namespace jayramp::scheduling
