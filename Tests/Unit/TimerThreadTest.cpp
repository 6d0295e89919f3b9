#include "Platform/TimerThread.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace jayramp {
namespace {

// Guards against a callback that runs late because one with a later time was
// scheduled before it.
TEST(TimerThreadTest, runsCallbacksInOrderOfTheirTimes) {
  TimerThread Timers;
  std::promise<int> First;
  std::atomic<bool> Reported = false;
  auto Report = [&](int Number) {
    if (!Reported.exchange(true))
      First.set_value(Number);
  };
  TimePoint Now = Clock::now();
  Timers.schedule(Now + Milliseconds(200), [&] { Report(2); });
  Timers.schedule(Now + Milliseconds(20), [&] { Report(1); });
  EXPECT_EQ(First.get_future().get(), 1);
  EXPECT_LT(Clock::now() - Now, Milliseconds(150));
  Timers.stop();
}

// Guards against a timeout that fires although its call has ended and has
// cancelled it.
TEST(TimerThreadTest, cancelledCallbackDoesNotRun) {
  TimerThread Timers;
  std::atomic<bool> Ran = false;
  auto Scheduled =
      Timers.schedule(Clock::now() + Milliseconds(20), [&] { Ran = true; });
  Timers.cancel(Scheduled);
  std::promise<void> Later;
  Timers.schedule(Clock::now() + Milliseconds(60), [&] { Later.set_value(); });
  Later.get_future().get();
  EXPECT_FALSE(Ran);
  Timers.stop();
}

} // namespace
} // namespace jayramp
