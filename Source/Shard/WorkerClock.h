#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace jayramp::shard {

/// Estimates what a worker's monotonic clock shows at least, from the times in
/// its answers and reports. Leases are granted as times on that clock; because
/// the estimate is never too high, no lease lasts longer than intended.
class WorkerClock {
public:
  /// Records that an answer received at \p Now shows \p ClockMs; ignored if not
  /// positive, which means that the worker did not report it. Replaces the
  /// earlier estimate.
  auto recordAnswer(std::int64_t ClockMs, TimePoint Now) -> void;
  /// Records that the worker's entry in the registry, seen at \p Now, shows
  /// \p ClockMs; ignored if not positive. The entry may be old when it is seen,
  /// so it is used only if it shows a later time than the estimate.
  auto recordReport(std::int64_t ClockMs, TimePoint Now) -> void;
  /// Discards the estimate; call when the worker's process has restarted,
  /// because its clock restarts too.
  auto reset() -> void { Known = false; }

  auto isKnown() const -> bool { return Known; }
  /// Returns the least that the worker's clock can show at \p Now, in
  /// milliseconds. An answer to a call that was sent later and shows less is
  /// that of another process. Must not be called while the clock is unknown.
  auto lowerBound(TimePoint Now) const -> std::int64_t;
  /// Returns the end of a lease that is granted at \p Now, on the worker's
  /// clock in milliseconds. The lease lasts at most
  /// maxLeaseDuration(LeaseDuration) on this host's clock; it is shorter by up
  /// to 2% of the time since the last reading.
  auto leaseEnd(Milliseconds LeaseDuration, TimePoint Now) const
      -> std::int64_t;
  /// Returns the longest time for which a granted lease can last on this host's
  /// clock.
  static auto maxLeaseDuration(Milliseconds LeaseDuration) -> Milliseconds;

private:
  std::int64_t ReadingMs = 0;
  TimePoint ReadAt; ///< The clock showed ReadingMs at this time or before.
  bool Known = false;
};

} // namespace jayramp::shard
