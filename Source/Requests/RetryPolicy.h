#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace jayramp {

/// Settings of a RetryBudget.
struct RetryPolicy {
  double Share = 0.1;  ///< Retries per first attempt.
  double Burst = 10.0; ///< Most retries saved up; also the initial budget.
  Milliseconds FirstBackoff{20};
  Milliseconds MaxBackoff{1'000};
  std::uint64_t Seed = 1; ///< Must differ among hosts.
};

} // namespace jayramp
