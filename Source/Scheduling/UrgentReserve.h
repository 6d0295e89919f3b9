#pragma once

#include "Base/Clock.h"
#include "Scheduling/SchedulingPolicy.h"
#include "Scheduling/SpeedPreference.h"

#include <cstdint>
#include <deque>

namespace jayramp::scheduling {

/// Sizes the reserve of accelerators that less urgent jobs leave free for
/// arriving jobs of the most urgent priority, by the recent arrivals.
class UrgentReserve {
public:
  explicit UrgentReserve(const SchedulingPolicy &Policy) : Policy(Policy) {}

  /// Records the arrival of an urgent job that needs \p Gpus accelerators on
  /// workers that are not slower than \p Slowest to end in time.
  auto recordArrival(TimePoint ArrivedAt, std::int64_t Gpus, SpeedClass Slowest)
      -> void {
    Arrivals.push_back({ArrivedAt, Gpus, Slowest});
  }
  /// Forgets the arrivals that do not count any more at \p Now.
  auto forgetOldArrivals(TimePoint Now) -> void;
  /// Returns the slowest class of workers on which the reserve is of use: at
  /// least half of the accelerators that recently arrived jobs requested may be
  /// that slow. The maximum if there were none.
  auto slowestUsefulClass() const -> SpeedClass;
  /// Returns the size of the reserve in a pool of \p TotalGpus accelerators,
  /// and forgets the arrivals that do not count any more.
  auto size(std::int64_t TotalGpus, TimePoint Now) -> std::int64_t;

private:
  struct Arrival {
    TimePoint ArrivedAt;
    std::int64_t Gpus = 0;
    SpeedClass Slowest = 0;
  };

  SchedulingPolicy Policy;
  std::deque<Arrival> Arrivals; ///< Of urgent jobs, by time.
};

} // namespace jayramp::scheduling
