#pragma once

#include "Base/Clock.h"
#include "Scheduling/SchedulingPolicy.h"

#include <cstdint>
#include <deque>
#include <utility>

namespace jayramp::scheduling {

/// Sizes the reserve of accelerators that less urgent jobs leave free for
/// arriving jobs of the most urgent priority, by the recent arrivals.
class UrgentReserve {
public:
  explicit UrgentReserve(const SchedulingPolicy &Policy) : Policy(Policy) {}

  /// Records the arrival of an urgent job that needs \p Gpus accelerators.
  auto recordArrival(TimePoint ArrivedAt, std::int64_t Gpus) -> void {
    Arrivals.emplace_back(ArrivedAt, Gpus);
  }
  /// Returns the size of the reserve in a pool of \p TotalGpus accelerators,
  /// and forgets the arrivals that do not count any more.
  auto size(std::int64_t TotalGpus, TimePoint Now) -> std::int64_t;

private:
  SchedulingPolicy Policy;
  /// Accelerators that urgent jobs requested, by time of arrival.
  std::deque<std::pair<TimePoint, std::int64_t>> Arrivals;
};

} // namespace jayramp::scheduling
