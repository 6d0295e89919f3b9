#include "EndToEnd/LatencyProbe.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <mutex>
#include <thread>

namespace jayramp {

auto LatencyProbe::run(std::size_t PerSecond, Milliseconds Duration,
                       const Call &Make) -> void {
  const std::size_t Count =
      PerSecond * static_cast<std::size_t>(Duration.count()) / 1000;
  const auto Interval = std::chrono::nanoseconds(1'000'000'000 / PerSecond);
  const TimePoint Start = Clock::now() + Milliseconds(50);
  std::atomic<std::size_t> Next{0};
  std::mutex Mutex;
  std::vector<std::thread> Running;
  for (std::size_t Thread = 0; Thread < Threads; ++Thread)
    Running.emplace_back([&, Thread] {
      std::vector<double> Own;
      std::size_t OwnFailures = 0;
      for (std::size_t Number = Next++; Number < Count; Number = Next++) {
        TimePoint Due = Start + Number * Interval;
        std::this_thread::sleep_until(Due);
        if (!Make(Thread, Number))
          ++OwnFailures;
        Own.push_back(
            std::chrono::duration<double, std::milli>(Clock::now() - Due)
                .count());
      }
      std::lock_guard Lock(Mutex);
      Latencies.insert(Latencies.end(), Own.begin(), Own.end());
      Failures += OwnFailures;
    });
  for (std::thread &Each : Running)
    Each.join();
  std::sort(Latencies.begin(), Latencies.end());
}

auto LatencyProbe::quantile(double Quantile) const -> double {
  if (Latencies.empty())
    return 0;
  auto Rank = static_cast<std::size_t>(
      std::ceil(Quantile * static_cast<double>(Latencies.size())));
  return Latencies[std::clamp<std::size_t>(Rank, 1, Latencies.size()) - 1];
}

} // namespace jayramp
