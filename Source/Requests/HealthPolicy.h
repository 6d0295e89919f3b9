#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace jayramp {

/// Thresholds of WorkerHealth.
struct HealthPolicy {
  std::uint32_t ConsecutiveFailures = 5; ///< Open the circuit.
  double FailureRate = 0.5;              ///< Over the window; opens it too.
  std::uint32_t MinimumSamples = 20;     ///< Below it the rate is ignored.
  Milliseconds Window{10'000};           ///< Half-life of the failure rate.
  Milliseconds FirstOpen{1'000};         ///< Doubled at each reopening.
  Milliseconds MaxOpen{60'000};
  Milliseconds TrialTimeout{30'000}; ///< A trial without result has failed.
  double FirstShare = 0.1;           ///< After a trial; doubled at success.
  double LatencyFactor = 3.0;        ///< Times the median: outlier.
  Milliseconds LatencyFloor{20};     ///< Faster workers are never outliers.
};

} // namespace jayramp
