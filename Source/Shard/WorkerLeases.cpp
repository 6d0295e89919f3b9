#include "Shard/WorkerLeases.h"

#include <algorithm>

namespace jayramp::shard {

auto WorkerLeases::grant(TimePoint Now) -> std::int64_t {
  extend(LeaseDuration, Now);
  return Clock.leaseEnd(LeaseDuration, Now);
}

auto WorkerLeases::onNewIncarnation(TimePoint Now) -> void {
  // The new process may have received leases that were computed with the clock
  // of the former one. It has shortened them to the longest that it grants.
  if (Now < ExpireAt)
    extend(MaxLeaseDuration, Now);
  Clock.reset();
}

auto WorkerLeases::extend(Milliseconds Duration, TimePoint Now) -> void {
  ExpireAt = std::max(ExpireAt, Now + WorkerClock::maxLeaseDuration(Duration));
}

} // namespace jayramp::shard
