#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace jayramp {

/// Makes calls at a fixed rate, whether or not earlier ones have returned, and
/// measures the latency of each from the time at which it was due. The latency
/// of a call that had to wait for a slow one therefore includes this delay.
class LatencyProbe {
public:
  /// Makes call \p CallIndex on thread \p Thread; returns whether it succeeded.
  using CallFunction =
      std::function<bool(std::size_t Thread, std::size_t CallIndex)>;

  /// Limit of calls in progress at once. It has to exceed the call rate times
  /// the longest latency expected on loopback, or calls start late.
  static constexpr std::size_t ThreadCount = 16;

  /// Makes \p PerSecond calls a second for \p Duration and adds their latencies
  /// to those of earlier runs.
  auto measure(std::size_t PerSecond, Milliseconds Duration,
               const CallFunction &MakeCall) -> void;

  /// Returns the latency in ms that the share \p Quantile (0 to 1) of all calls
  /// does not exceed; 0 if there were no calls.
  auto quantile(double Quantile) const -> double;

  auto callCount() const -> std::size_t { return LatenciesMs.size(); }
  auto failureCount() const -> std::size_t { return FailedCalls; }

private:
  std::vector<double> LatenciesMs; ///< Sorted in ascending order.
  std::size_t FailedCalls = 0;
};

} // namespace jayramp
