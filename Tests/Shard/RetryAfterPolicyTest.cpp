#include "Shard/RetryAfterPolicy.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace jayramp::shard {
namespace {

auto at(int Ms) -> TimePoint {
  return TimePoint(std::chrono::hours(1)) + Milliseconds(Ms);
}

/// Returns whether a caller that is first refused \p FirstMs after the start of
/// an outage is served within \p Repeats repeats.
auto isServed(int OutageMs, int FirstMs, int Repeats) -> bool {
  RetryAfterPolicy Policy;
  Policy.recordAvailability(false, at(0));
  auto Now = at(FirstMs);
  for (int Repeat = 0; Repeat < Repeats; ++Repeat) {
    Now += Policy.retryAfter(Now, 0.5);
    if (Now >= at(OutageMs))
      return true;
  }
  return false;
}

// Guards against refusing a caller for good because it has used up its repeats
// before the end of an outage of several seconds.
TEST(RetryAfterPolicyTest, fourRepeatsOutlastAnOutageOfSevenSeconds) {
  for (int FirstMs = 0; FirstMs < 7000; FirstMs += 100)
    EXPECT_TRUE(isServed(7000, FirstMs, 4)) << FirstMs;
}

TEST(RetryAfterPolicyTest, returnsAShortDelayInAShortOutage) {
  RetryAfterPolicy Policy;
  EXPECT_EQ(Policy.retryAfter(at(0), 0), std::chrono::seconds(1));
  Policy.recordAvailability(false, at(0));
  EXPECT_EQ(Policy.retryAfter(at(300), 0.5), std::chrono::seconds(1));
  EXPECT_EQ(Policy.retryAfter(at(60000), 1), std::chrono::seconds(4));
}

TEST(RetryAfterPolicyTest, startsAnewAfterAnOutage) {
  RetryAfterPolicy Policy;
  Policy.recordAvailability(false, at(0));
  Policy.recordAvailability(true, at(5000));
  Policy.recordAvailability(false, at(9000));
  EXPECT_EQ(Policy.retryAfter(at(9000), 0), std::chrono::seconds(1));
}

// Guards against callers that were refused together and return together.
TEST(RetryAfterPolicyTest, spreadsCallers) {
  RetryAfterPolicy Policy;
  Policy.recordAvailability(false, at(0));
  EXPECT_NE(Policy.retryAfter(at(1500), 0), Policy.retryAfter(at(1500), 0.9));
}

} // namespace
} // namespace jayramp::shard
