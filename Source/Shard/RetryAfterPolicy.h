#pragma once

#include "Base/Clock.h"

#include <optional>

namespace jayramp::shard {

/// Chooses when a caller should repeat a request that was refused because the
/// store is unavailable. Callers repeat a request only a few times, so a fixed
/// short delay uses up their repeats during a long outage. An outage is
/// expected to last about as long again as it has lasted. Reads no clock.
class RetryAfterPolicy {
public:
  // Commands.

  /// Records whether requests can be served at \p Now.
  auto recordAvailability(bool Available, TimePoint Now) -> void;

  // Queries.

  /// Returns the delay for a request refused at \p Now, in whole seconds.
  /// \p Spread, from 0 to 1, differs between callers, so that they do not all
  /// return at the same time.
  auto retryAfter(TimePoint Now, double Spread) const -> std::chrono::seconds;

private:
  std::optional<TimePoint> UnavailableSince;
};

} // namespace jayramp::shard
