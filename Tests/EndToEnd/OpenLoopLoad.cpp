#include "EndToEnd/OpenLoopLoad.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

namespace jayramp {

auto poissonArrivals(std::mt19937 &Random, double PerSecond, Milliseconds Begin,
                     Milliseconds End)
    -> std::vector<std::chrono::microseconds> {
  std::vector<std::chrono::microseconds> Times;
  std::exponential_distribution<double> Gap(PerSecond);
  double Now = static_cast<double>(Begin.count()) / 1000.0;
  double Last = static_cast<double>(End.count()) / 1000.0;
  for (Now += Gap(Random); Now < Last; Now += Gap(Random))
    Times.emplace_back(static_cast<std::int64_t>(Now * 1e6));
  return Times;
}

auto runOpenLoopLoad(
    const std::vector<std::chrono::microseconds> &Arrivals, std::size_t Threads,
    TimePoint Start,
    const std::function<void(std::size_t, std::size_t, TimePoint)> &Action)
    -> void {
  std::atomic<std::size_t> Next{0};
  std::vector<std::thread> Running;
  for (std::size_t Thread = 0; Thread < Threads; ++Thread)
    Running.emplace_back([&, Thread] {
      for (;;) {
        std::size_t Index = Next.fetch_add(1);
        if (Index >= Arrivals.size())
          return;
        TimePoint Due = Start + Arrivals[Index];
        std::this_thread::sleep_until(Due);
        Action(Thread, Index, Due);
      }
    });
  for (auto &Thread : Running)
    Thread.join();
}

auto percentile(std::vector<double> Values, double Percent) -> double {
  if (Values.empty())
    return 0.0;
  std::sort(Values.begin(), Values.end());
  auto Index = static_cast<std::size_t>(
      std::ceil(Percent / 100.0 * static_cast<double>(Values.size())));
  return Values[std::min(Values.size(), std::max<std::size_t>(1, Index)) - 1];
}

auto chooseRandomSeed() -> unsigned {
  const char *Given = std::getenv("JAYRAMP_SEED");
  unsigned Seed =
      Given ? static_cast<unsigned>(std::stoul(Given)) : std::random_device{}();
  std::cout << "seed=" << Seed << std::endl;
  return Seed;
}

} // namespace jayramp
