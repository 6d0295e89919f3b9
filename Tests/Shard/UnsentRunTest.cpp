#include "SchedulerFixture.h"

namespace jayramp::scheduling {
namespace {

/// Runs that end without ever being sent to their worker.
class UnsentRunTest : public SchedulerFixture {
protected:
  /// Makes a pass every millisecond until \p Ms and ends each run of job a that
  /// was placed at once. Returns how many there were.
  auto dropRunsUntil(std::int64_t Ms, bool WorkerCausesIt) -> int {
    int Dropped = 0;
    for (; Now < Ms; ++Now) {
      Scheduler.schedule(at(Now));
      for (const auto &LiveRun : runsOf("a")) {
        Scheduler.runUnsent(LiveRun.Id, WorkerCausesIt, at(Now));
        ++Dropped;
      }
    }
    return Dropped;
  }

  std::int64_t Now = 0;
};

// Guards against a task that is placed and dropped thousands of times.
TEST_F(UnsentRunTest, taskIsPlacedAgainAfterADelayThatGrows) {
  addWorkers(1, 3);
  addJob("a", {});
  EXPECT_LE(dropRunsUntil(1000, false), 7);
  EXPECT_LE(dropRunsUntil(11000, false), 11);
}

// Guards against a worker that all waiting tasks are placed on in vain.
TEST_F(UnsentRunTest, workerThatCausesItGetsNothingForADelayThatGrows) {
  addWorkers(1, 1);
  addJob("a", {});
  dropRunsUntil(310, true);
  addJob("b", {}, Now);
  Scheduler.schedule(at(Now));
  EXPECT_TRUE(runsOf("b").empty());
  Scheduler.schedule(at(Now + 1000));
  EXPECT_EQ(runsOf("b").size(), 1U);
}

// Guards against a healthy worker that stands idle because of a task that was
// withdrawn for another reason.
TEST_F(UnsentRunTest, workerThatDidNotCauseItStaysInUse) {
  addWorkers(1, 1);
  addJob("a", {});
  dropRunsUntil(310, false);
  addJob("b", {}, Now);
  Scheduler.schedule(at(Now));
  EXPECT_EQ(runsOf("b").size(), 1U);
}

// Guards against delays that outlast their cause.
TEST_F(UnsentRunTest, aStartEndsTheDelays) {
  addWorkers(1, 1);
  addJob("a", {});
  dropRunsUntil(3000, true);
  Scheduler.schedule(at(Now + 1000));
  confirmStarts(Now + 1000);
  Scheduler.runEnded(runsOf("a").front().Id, RunOutcome::Stopped, "",
                     at(Now + 1001));
  Now += 1002;
  EXPECT_GE(dropRunsUntil(Now + 100, true), 3);
}

// Guards against members of one gang that delay each other one by one.
TEST_F(UnsentRunTest, membersOfAGangWaitTogether) {
  addWorkers(1, 4);
  addJob("a", {1, 4, 8, true});
  Scheduler.schedule(at(0));
  ASSERT_EQ(runsOf("a").size(), 4U);
  for (const auto &LiveRun : runsOf("a"))
    Scheduler.runUnsent(LiveRun.Id, false, at(0));
  Scheduler.schedule(at(1));
  EXPECT_TRUE(runsOf("a").empty());
  Scheduler.schedule(at(30));
  EXPECT_EQ(runsOf("a").size(), 4U);
}

// Guards against a wait that nobody can explain.
TEST_F(UnsentRunTest, theWaitIsDiagnosed) {
  addWorkers(1, 1);
  addJob("a", {});
  dropRunsUntil(5000, false);
  Scheduler.schedule(at(Now));
  const auto Reports = Scheduler.takeWaitReports();
  ASSERT_FALSE(Reports.empty());
  EXPECT_EQ(Reports.back().Reason, WaitReason::Backoff);
}

} // namespace
} // namespace jayramp::scheduling
