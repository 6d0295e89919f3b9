#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <functional>
#include <random>
#include <vector>

namespace jayramp {

/// Arrival times of a Poisson process with \p PerSecond arrivals, from
/// \p Begin to \p End after the start of the load.
auto poissonArrivals(std::mt19937 &Random, double PerSecond, Milliseconds Begin,
                     Milliseconds End)
    -> std::vector<std::chrono::microseconds>;

/// Calls \p Action(thread, index, due) for each arrival at its time, from
/// \p Threads threads, and returns when all calls have returned. Times measured
/// from \p due include the delay that busy threads add.
auto runOpenLoopLoad(
    const std::vector<std::chrono::microseconds> &Arrivals, std::size_t Threads,
    TimePoint Start,
    const std::function<void(std::size_t, std::size_t, TimePoint)> &Action)
    -> void;

/// Value below which \p Percent of \p Values lie; 0 without values.
auto percentile(std::vector<double> Values, double Percent) -> double;

/// Seed of this run: JAYRAMP_SEED or a random one.
auto chooseRandomSeed() -> unsigned;

} // namespace jayramp
