#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <functional>
#include <random>
#include <vector>

namespace jayramp {

/// Returns the arrival times of a Poisson process with a mean rate of
/// \p ArrivalsPerSecond, relative to the start of the load, between \p Begin
/// and \p End.
auto poissonArrivals(std::mt19937 &Random, double ArrivalsPerSecond,
                     Milliseconds Begin, Milliseconds End)
    -> std::vector<std::chrono::microseconds>;

/// Generates an open-loop load: calls \p SendRequest(thread, index, due) for
/// each arrival at its time, from \p ThreadCount threads, and returns when all
/// calls have returned. If all threads are busy, a call starts late; latencies
/// measured from its due time include that delay.
auto runOpenLoopLoad(
    const std::vector<std::chrono::microseconds> &Arrivals,
    std::size_t ThreadCount, TimePoint Start,
    const std::function<void(std::size_t, std::size_t, TimePoint)> &SendRequest)
    -> void;

/// Returns the smallest of \p Values that at least \p Percent (0 to 100) of
/// them do not exceed; 0 if there are no values.
auto percentile(std::vector<double> Values, double Percent) -> double;

/// Returns the seed in the environment variable JAYRAMP_SEED, or a random one
/// if it is not set, and prints it as "seed=N".
auto chooseRandomSeed() -> unsigned;

} // namespace jayramp
