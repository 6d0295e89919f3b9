#include "Shard/RetryAfterPolicy.h"

#include <algorithm>

namespace jayramp::shard {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::seconds MinDelay{1};
/// A longer delay would keep callers away after the end of the outage.
constexpr std::chrono::seconds MaxDelay{4};

} // namespace

auto RetryAfterPolicy::recordAvailability(bool Available, TimePoint Now)
    -> void {
  if (Available)
    UnavailableSince.reset();
  else if (!UnavailableSince)
    UnavailableSince = Now;
}

auto RetryAfterPolicy::retryAfter(TimePoint Now, double Spread) const
    -> std::chrono::seconds {
  const Seconds Elapsed =
      UnavailableSince ? Now - *UnavailableSince : Clock::duration(0);
  const auto Delay =
      std::chrono::ceil<std::chrono::seconds>(Elapsed + Seconds(Spread));
  return std::clamp(Delay, MinDelay, MaxDelay);
}

} // namespace jayramp::shard
