#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace jayramp {

/// Calls made at a fixed rate, whether or not earlier ones have returned, and
/// their latencies from the time at which each was due. A slow call therefore
/// also shows in the calls that had to wait for it.
class LatencyProbe {
public:
  /// Makes call \p CallIndex on thread \p Thread; returns whether it succeeded.
  using CallFunction =
      std::function<bool(std::size_t Thread, std::size_t CallIndex)>;

  /// Calls in progress at once; more than the rate times the longest latency
  /// that is expected on loopback.
  static constexpr std::size_t ThreadCount = 16;

  /// Makes \p PerSecond calls a second for \p Duration and adds the latencies
  /// to the sample.
  auto measure(std::size_t PerSecond, Milliseconds Duration,
               const CallFunction &MakeCall) -> void;

  /// The latency in ms that the share \p Quantile (0 to 1) of all calls does
  /// not exceed; 0 without calls.
  auto quantile(double Quantile) const -> double;

  auto callCount() const -> std::size_t { return LatenciesMs.size(); }
  auto failureCount() const -> std::size_t { return FailedCalls; }

private:
  std::vector<double> LatenciesMs; ///< In ms, sorted.
  std::size_t FailedCalls = 0;
};

} // namespace jayramp
