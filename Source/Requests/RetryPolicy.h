#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace jayramp {

/// Parameters of a RetryBudget.
struct RetryPolicy {
  double Share = 0.1;  ///< Retries earned by each first attempt.
  double Burst = 10.0; ///< Maximum and initial number of retries available.
  Milliseconds FirstBackoff{20};  ///< Longest wait before the first retry.
  Milliseconds MaxBackoff{1'000}; ///< Longest wait before any retry.
  /// Seed of the random backoff times. Must differ between hosts, so that
  /// their retries do not coincide.
  std::uint64_t Seed = 1;
};

} // namespace jayramp
