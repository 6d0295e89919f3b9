#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace jayramp::shard {

/// Estimates a worker's monotonic clock from the times in its answers. Leases
/// are granted as times on that clock.
class WorkerClock {
public:
  /// Records that the worker's clock shows \p ClockMs now; ignored if not
  /// positive, which means that the worker did not report it.
  auto update(std::int64_t ClockMs) -> void;
  /// Discards the estimate; call when the worker's process has restarted,
  /// because its clock restarts too.
  auto reset() -> void { Known = false; }

  auto isKnown() const -> bool { return Known; }
  /// Returns the end of a lease that is granted now, on the worker's clock in
  /// milliseconds.
  auto leaseEnd(Milliseconds LeaseDuration) const -> std::int64_t;
  /// Returns the longest time for which a granted lease can last on this host's
  /// clock.
  static auto maxLeaseDuration(Milliseconds LeaseDuration) -> Milliseconds;

private:
  std::int64_t OffsetMs = 0; ///< Worker's clock minus this host's clock.
  bool Known = false;
};

} // namespace jayramp::shard
