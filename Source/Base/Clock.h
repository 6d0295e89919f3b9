#pragma once

#include <chrono>
#include <cstdint>

namespace jayramp {

/// Time that pure decision classes take as an argument. Never compared between
/// two hosts.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Time of day in Unix milliseconds; may jump and differs between hosts.
inline auto unixNowMs() -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace jayramp
