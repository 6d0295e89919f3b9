#pragma once

#include "Base/Clock.h"

#include <random>

namespace jayramp {

/// Delay before the next call to a store that has failed. It grows to one
/// second, with jitter, so that entry hosts do not return all at once after an
/// outage, yet each returns well within the silence limit. Not thread-safe.
class StoreBackoff {
public:
  auto succeed() -> void { Failures = 0; }
  /// Notes a failure and gives the delay.
  auto fail() -> Milliseconds;

private:
  unsigned Failures = 0;
  std::minstd_rand Generator{std::random_device{}()};
};

} // namespace jayramp
