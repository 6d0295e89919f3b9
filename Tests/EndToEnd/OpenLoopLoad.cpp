#include "EndToEnd/OpenLoopLoad.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

namespace jayramp {

auto poissonArrivals(std::mt19937 &Random, double ArrivalsPerSecond,
                     Milliseconds Begin, Milliseconds End)
    -> std::vector<std::chrono::microseconds> {
  std::vector<std::chrono::microseconds> Arrivals;
  std::exponential_distribution<double> InterarrivalSeconds(ArrivalsPerSecond);
  double ArrivalSeconds = static_cast<double>(Begin.count()) / 1000.0;
  double EndSeconds = static_cast<double>(End.count()) / 1000.0;
  for (ArrivalSeconds += InterarrivalSeconds(Random);
       ArrivalSeconds < EndSeconds;
       ArrivalSeconds += InterarrivalSeconds(Random))
    Arrivals.emplace_back(static_cast<std::int64_t>(ArrivalSeconds * 1e6));
  return Arrivals;
}

auto runOpenLoopLoad(
    const std::vector<std::chrono::microseconds> &Arrivals,
    std::size_t ThreadCount, TimePoint Start,
    const std::function<void(std::size_t, std::size_t, TimePoint)> &SendRequest)
    -> void {
  std::atomic<std::size_t> NextIndex{0};
  std::vector<std::thread> SenderThreads;
  for (std::size_t Thread = 0; Thread < ThreadCount; ++Thread)
    SenderThreads.emplace_back([&, Thread] {
      for (;;) {
        std::size_t Index = NextIndex.fetch_add(1);
        if (Index >= Arrivals.size())
          return;
        TimePoint Due = Start + Arrivals[Index];
        std::this_thread::sleep_until(Due);
        SendRequest(Thread, Index, Due);
      }
    });
  for (auto &Thread : SenderThreads)
    Thread.join();
}

auto percentile(std::vector<double> Values, double Percent) -> double {
  if (Values.empty())
    return 0.0;
  std::sort(Values.begin(), Values.end());
  auto Rank = static_cast<std::size_t>(
      std::ceil(Percent / 100.0 * static_cast<double>(Values.size())));
  return Values[std::min(Values.size(), std::max<std::size_t>(1, Rank)) - 1];
}

auto chooseRandomSeed() -> unsigned {
  const char *GivenSeed = std::getenv("JAYRAMP_SEED");
  unsigned Seed = GivenSeed ? static_cast<unsigned>(std::stoul(GivenSeed))
                            : std::random_device{}();
  std::cout << "seed=" << Seed << std::endl;
  return Seed;
}

} // namespace jayramp
