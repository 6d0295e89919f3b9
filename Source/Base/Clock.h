#pragma once

#include <chrono>

namespace jayramp {

/// Time that pure decision classes take as an argument. Never compared between
/// two hosts.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

} // namespace jayramp
