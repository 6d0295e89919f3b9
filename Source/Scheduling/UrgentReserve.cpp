#include "Scheduling/UrgentReserve.h"

#include <algorithm>

namespace jayramp::scheduling {

auto UrgentReserve::size(std::int64_t TotalGpus, TimePoint Now)
    -> std::int64_t {
  while (!Arrivals.empty() &&
         Arrivals.front().first < Now - Policy.ArrivalWindow)
    Arrivals.pop_front();
  std::int64_t RecentArrivals = 0;
  for (const auto &[Time, Gpus] : Arrivals)
    RecentArrivals += Gpus;
  const auto ExpectedGpus = RecentArrivals * Policy.ReserveHorizon.count() /
                            Policy.ArrivalWindow.count();
  return std::min(ExpectedGpus,
                  static_cast<std::int64_t>(static_cast<double>(TotalGpus) *
                                            Policy.MaxReserveFraction));
}

} // namespace jayramp::scheduling
