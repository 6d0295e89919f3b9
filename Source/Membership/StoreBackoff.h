#pragma once

#include "Base/Clock.h"

#include <random>

namespace jayramp {

/// Exponential backoff with jitter for store calls that fail. The jitter keeps
/// the entry hosts from retrying all at once after an outage; the limit of one
/// second lets each of them retry well within the silence limit. Not
/// thread-safe.
class StoreBackoff {
public:
  /// Records a successful call.
  auto reset() -> void { Failures = 0; }
  /// Records a failed call and returns the delay before the next one.
  auto nextDelay() -> Milliseconds;

private:
  unsigned Failures = 0; ///< Since the last successful call.
  std::minstd_rand Generator{std::random_device{}()};
};

} // namespace jayramp
