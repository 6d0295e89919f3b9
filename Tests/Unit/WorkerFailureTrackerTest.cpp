#include "Jobs/WorkerFailureTracker.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

// Guards against a single faulty job that gets workers quarantined.
TEST(WorkerFailureTrackerTest, countsOnlyDistinctJobs) {
  WorkerFailureTracker Tracker;
  const SchedulerPolicy Policy;
  const TimePoint Now{};
  for (int Failure = 0; Failure < 5; ++Failure)
    EXPECT_FALSE(Tracker.recordFailure("w", "j1", Now, Policy));
  EXPECT_FALSE(Tracker.recordFailure("w", "j2", Now, Policy));
  Tracker.forgetFailuresOfJob("j1");
  EXPECT_FALSE(Tracker.recordFailure("w", "j3", Now, Policy));
  EXPECT_TRUE(Tracker.recordFailure("w", "j4", Now, Policy));
}

// Guards against a faulty worker that returns from quarantine at a constant
// rate.
TEST(WorkerFailureTrackerTest, doublesTheQuarantineUntilASuccess) {
  WorkerFailureTracker Tracker;
  const SchedulerPolicy Policy;
  TimePoint Now{};
  (void)Tracker.recordFailure("w", "j1", Now, Policy);
  (void)Tracker.recordFailure("w", "j2", Now, Policy);
  EXPECT_EQ(Tracker.recordFailure("w", "j3", Now, Policy)->Duration,
            Policy.FirstQuarantineDuration);
  auto ExpectedDuration = Policy.FirstQuarantineDuration;
  for (int Round = 0; Round < 10; ++Round) {
    EXPECT_TRUE(Tracker.isQuarantined("w"));
    EXPECT_FALSE(Tracker.endExpiredQuarantines(Now + ExpectedDuration -
                                               Milliseconds(1)));
    Now += ExpectedDuration;
    EXPECT_TRUE(Tracker.endExpiredQuarantines(Now));
    ExpectedDuration =
        std::min(ExpectedDuration * 2, Policy.MaxQuarantineDuration);
    EXPECT_EQ(Tracker.recordFailure("w", "j4", Now, Policy)->Duration,
              ExpectedDuration);
  }
  Now += ExpectedDuration;
  EXPECT_TRUE(Tracker.endExpiredQuarantines(Now));
  Tracker.recordSuccess("w");
  EXPECT_FALSE(Tracker.recordFailure("w", "j5", Now, Policy));
}

} // namespace
} // namespace jayramp
