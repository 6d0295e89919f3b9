#include "Scheduling/UrgentReserve.h"

#include <algorithm>
#include <limits>
#include <map>

namespace jayramp::scheduling {

auto UrgentReserve::forgetOldArrivals(TimePoint Now) -> void {
  while (!Arrivals.empty() &&
         Arrivals.front().ArrivedAt < Now - Policy.ArrivalWindow)
    Arrivals.pop_front();
}

auto UrgentReserve::size(std::int64_t TotalGpus, TimePoint Now)
    -> std::int64_t {
  forgetOldArrivals(Now);
  std::int64_t RecentArrivals = 0;
  for (const auto &Each : Arrivals)
    RecentArrivals += Each.Gpus;
  const auto ExpectedGpus = RecentArrivals * Policy.ReserveHorizon.count() /
                            Policy.ArrivalWindow.count();
  return std::min(ExpectedGpus,
                  static_cast<std::int64_t>(static_cast<double>(TotalGpus) *
                                            Policy.MaxReserveFraction));
}

auto UrgentReserve::slowestUsefulClass() const -> SpeedClass {
  std::map<SpeedClass, std::int64_t> GpusBySlowest;
  std::int64_t Total = 0;
  for (const auto &Each : Arrivals) {
    GpusBySlowest[Each.Slowest] += Each.Gpus;
    Total += Each.Gpus;
  }
  std::int64_t Sum = 0;
  for (const auto &[Slowest, Gpus] : GpusBySlowest) {
    Sum += Gpus;
    if (Sum * 2 >= Total && Total > 0)
      return Slowest;
  }
  return std::numeric_limits<SpeedClass>::max();
}

} // namespace jayramp::scheduling
