#include "Shard/WorkerClock.h"

#include <algorithm>

namespace jayramp::shard {

namespace {

/// Percentage by which a worker's clock may be slower than this host's.
constexpr int ClockErrorPercent = 2;
/// Added to the duration of a lease to allow for delays of messages and timers.
constexpr Milliseconds LeaseMargin{400};

} // namespace

auto WorkerClock::recordAnswer(std::int64_t ClockMs, TimePoint Now) -> void {
  if (ClockMs <= 0)
    return;
  ReadingMs = ClockMs;
  ReadAt = Now;
  Known = true;
}

auto WorkerClock::recordReport(std::int64_t ClockMs, TimePoint Now) -> void {
  if (!Known || ClockMs > lowerBound(Now))
    recordAnswer(ClockMs, Now);
}

auto WorkerClock::lowerBound(TimePoint Now) const -> std::int64_t {
  const auto Elapsed =
      std::chrono::duration_cast<Milliseconds>(Now - ReadAt).count();
  return ReadingMs +
         std::max<std::int64_t>(0, Elapsed) * (100 - ClockErrorPercent) / 100;
}

auto WorkerClock::leaseEnd(Milliseconds LeaseDuration, TimePoint Now) const
    -> std::int64_t {
  return lowerBound(Now) + LeaseDuration.count();
}

auto WorkerClock::maxLeaseDuration(Milliseconds LeaseDuration) -> Milliseconds {
  return LeaseDuration * (100 + ClockErrorPercent) / 100 + LeaseMargin;
}

} // namespace jayramp::shard
