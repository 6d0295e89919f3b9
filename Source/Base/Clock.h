#pragma once

#include <chrono>
#include <cstdint>

namespace jayramp {

/// Monotonic clock for durations and timeouts. Classes that make decisions
/// without I/O receive the time as an argument instead of reading the clock.
/// Values must never be compared between hosts.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Returns the time of day in Unix milliseconds. It may jump, and it differs
/// between hosts.
inline auto unixNowMs() -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace jayramp
