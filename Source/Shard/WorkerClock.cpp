#include "Shard/WorkerClock.h"

namespace jayramp::shard {

namespace {

/// Percentage by which a worker's clock may be slower than this host's.
constexpr int ClockErrorPercent = 2;
/// Added to the duration of a lease to allow for delays of messages and timers.
constexpr Milliseconds LeaseMargin{400};

auto localClockMs() -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(
             Clock::now().time_since_epoch())
      .count();
}

} // namespace

auto WorkerClock::update(std::int64_t ClockMs) -> void {
  if (ClockMs <= 0)
    return;
  OffsetMs = ClockMs - localClockMs();
  Known = true;
}

auto WorkerClock::leaseEnd(Milliseconds LeaseDuration) const -> std::int64_t {
  return localClockMs() + OffsetMs + LeaseDuration.count();
}

auto WorkerClock::maxLeaseDuration(Milliseconds LeaseDuration) -> Milliseconds {
  return LeaseDuration * (100 + ClockErrorPercent) / 100 + LeaseMargin;
}

} // namespace jayramp::shard
