#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace jayramp {

/// Circuit breaker and latency ejection thresholds of WorkerHealth.
struct HealthPolicy {
  /// Failures in a row that open the circuit.
  std::uint32_t ConsecutiveFailures = 5;
  /// Share of failures among the counted results that opens the circuit.
  double FailureRate = 0.5;
  /// With fewer counted results than this, FailureRate is ignored.
  std::uint32_t MinimumSamples = 20;
  Milliseconds Window{10'000};   ///< Half-life of the counted results.
  Milliseconds FirstOpen{1'000}; ///< Open time; doubled at each reopening.
  Milliseconds MaxOpen{60'000};  ///< Upper limit of the open time.
  /// A trial without a result is repeated after this time.
  Milliseconds TrialTimeout{30'000};
  /// Traffic share after a trial succeeded; each further success doubles it.
  double FirstShare = 0.1;
  /// Workers whose latency exceeds the median times this factor are outliers.
  double LatencyFactor = 3.0;
  Milliseconds LatencyFloor{20}; ///< Workers below this are never outliers.
};

} // namespace jayramp
