#include "EndToEnd/LatencyProbe.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <mutex>
#include <thread>

namespace jayramp {

auto LatencyProbe::measure(std::size_t PerSecond, Milliseconds Duration,
                           const CallFunction &MakeCall) -> void {
  const std::size_t CallCount =
      PerSecond * static_cast<std::size_t>(Duration.count()) / 1000;
  const auto Interval = std::chrono::nanoseconds(1'000'000'000 / PerSecond);
  const TimePoint Start = Clock::now() + Milliseconds(50);
  std::atomic<std::size_t> NextCallIndex{0};
  std::mutex Mutex;
  std::vector<std::thread> CallerThreads;
  for (std::size_t Thread = 0; Thread < ThreadCount; ++Thread)
    CallerThreads.emplace_back([&, Thread] {
      std::vector<double> OwnLatenciesMs;
      std::size_t OwnFailedCalls = 0;
      for (std::size_t CallIndex = NextCallIndex++; CallIndex < CallCount;
           CallIndex = NextCallIndex++) {
        TimePoint Due = Start + CallIndex * Interval;
        std::this_thread::sleep_until(Due);
        if (!MakeCall(Thread, CallIndex))
          ++OwnFailedCalls;
        OwnLatenciesMs.push_back(
            std::chrono::duration<double, std::milli>(Clock::now() - Due)
                .count());
      }
      std::lock_guard Lock(Mutex);
      LatenciesMs.insert(LatenciesMs.end(), OwnLatenciesMs.begin(),
                         OwnLatenciesMs.end());
      FailedCalls += OwnFailedCalls;
    });
  for (std::thread &Thread : CallerThreads)
    Thread.join();
  std::sort(LatenciesMs.begin(), LatenciesMs.end());
}

auto LatencyProbe::quantile(double Quantile) const -> double {
  if (LatenciesMs.empty())
    return 0;
  auto Rank = static_cast<std::size_t>(
      std::ceil(Quantile * static_cast<double>(LatenciesMs.size())));
  return LatenciesMs[std::clamp<std::size_t>(Rank, 1, LatenciesMs.size()) - 1];
}

} // namespace jayramp
