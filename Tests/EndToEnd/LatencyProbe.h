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
  /// Makes call \p Number on thread \p Thread; returns whether it succeeded.
  using Call = std::function<bool(std::size_t Thread, std::size_t Number)>;

  /// Calls in progress at once; more than the rate times the longest latency
  /// that is expected on loopback.
  static constexpr std::size_t Threads = 16;

  /// Makes \p PerSecond calls a second for \p Duration and adds the latencies
  /// to the sample.
  auto run(std::size_t PerSecond, Milliseconds Duration, const Call &Make)
      -> void;

  /// The latency in ms that the share \p Quantile (0 to 1) of all calls does
  /// not exceed; 0 without calls.
  auto quantile(double Quantile) const -> double;

  auto calls() const -> std::size_t { return Latencies.size(); }
  auto failures() const -> std::size_t { return Failures; }

private:
  std::vector<double> Latencies; ///< In ms, sorted.
  std::size_t Failures = 0;
};

} // namespace jayramp
