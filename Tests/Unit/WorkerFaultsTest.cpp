#include "Jobs/WorkerFaults.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

// Guards against one bad job that takes workers out of service.
TEST(WorkerFaultsTest, countsDistinctJobsOnly) {
  WorkerFaults Faults;
  const SchedulerPolicy Policy;
  const TimePoint Now{};
  for (int Try = 0; Try < 5; ++Try)
    EXPECT_FALSE(Faults.recordFailure("w", "j1", Now, Policy));
  EXPECT_FALSE(Faults.recordFailure("w", "j2", Now, Policy));
  Faults.forgetJob("j1");
  EXPECT_FALSE(Faults.recordFailure("w", "j3", Now, Policy));
  EXPECT_TRUE(Faults.recordFailure("w", "j4", Now, Policy));
}

// Guards against a bad worker that returns to full service at a constant rate.
TEST(WorkerFaultsTest, doublesTheDelayUntilASuccess) {
  WorkerFaults Faults;
  const SchedulerPolicy Policy;
  TimePoint Now{};
  (void)Faults.recordFailure("w", "j1", Now, Policy);
  (void)Faults.recordFailure("w", "j2", Now, Policy);
  EXPECT_EQ(Faults.recordFailure("w", "j3", Now, Policy)->Delay,
            Policy.QuarantineDelay);
  auto Expected = Policy.QuarantineDelay;
  for (int Round = 0; Round < 10; ++Round) {
    EXPECT_TRUE(Faults.isQuarantined("w"));
    EXPECT_FALSE(Faults.expire(Now + Expected - Milliseconds(1)));
    Now += Expected;
    EXPECT_TRUE(Faults.expire(Now));
    Expected = std::min(Expected * 2, Policy.LongestQuarantine);
    EXPECT_EQ(Faults.recordFailure("w", "j4", Now, Policy)->Delay, Expected);
  }
  Now += Expected;
  EXPECT_TRUE(Faults.expire(Now));
  Faults.recordSuccess("w");
  EXPECT_FALSE(Faults.recordFailure("w", "j5", Now, Policy));
}

} // namespace
} // namespace jayramp
