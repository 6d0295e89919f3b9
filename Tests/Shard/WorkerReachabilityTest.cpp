#include "ShardFixture.h"

namespace jayramp::test {
namespace {

using scheduling::JobState;

/// A worker that stays registered while it cannot be reached.
class WorkerReachabilityTest : public ShardFixture {
protected:
  /// Longer than several probes of a worker that does not answer take.
  static constexpr Milliseconds CutDuration{700};
};

// Guards against a worker that is never used again: it could not be reached
// when a new owner asked it for the first time.
TEST_F(WorkerReachabilityTest, workerThatWasCutOffAtATakeoverIsUsedAgain) {
  Registry.add("w1");
  Workers["w1"].Unresponsive = true;
  startOwner();
  runFor(CutDuration);
  Workers["w1"].Unresponsive = false;
  submit(job("a"));
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; },
                       Milliseconds(2500)));
}

// Guards against a worker that is never used again: it was cut off while it
// was idle, and the leases of what was placed there ended in the cut.
TEST_F(WorkerReachabilityTest, workerThatWasCutOffWhileIdleIsUsedAgain) {
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(30));
  Workers["w1"].Unresponsive = true;
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return !Owner->scheduler().runs().empty(); }));
  ASSERT_TRUE(runUntil([&] { return Owner->scheduler().runs().empty(); }));
  runFor(CutDuration);
  Workers["w1"].Unresponsive = false;
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; },
                       Milliseconds(2500)));
}

// Guards against runs that are placed and lost thousands of times: a worker
// that does not answer restarts, its new entry makes it look reachable, and
// each run placed there is given up before any call is sent. It must be asked
// instead.
TEST_F(WorkerReachabilityTest, silentWorkerWithANewEntryIsNotGivenRunsInVain) {
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(30));
  Workers["w1"].Unresponsive = true;
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return !Owner->scheduler().runs().empty(); }));
  ASSERT_TRUE(runUntil([&] { return Owner->scheduler().runs().empty(); }));
  Workers.restart("w1");
  Workers["w1"].Unresponsive = true;
  Registry.report("w1", Workers["w1"].Incarnation, 1);
  runFor(CutDuration);
  EXPECT_LE(Owner->scheduler().job("a")->Progress.Steps[0][0].LastRunNumber,
            3U);
  Workers["w1"].Unresponsive = false;
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; },
                       Milliseconds(2500)));
}

// Guards against runs that are placed and lost thousands of times: each start
// finds another process than the queries before and after it, and is not sent.
TEST_F(WorkerReachabilityTest,
       startsThatFindAnotherProcessAreNotRepeatedAtOnce) {
  Registry.add("w1");
  Workers["w1"].MisdirectsStarts = true;
  startOwner();
  submit(job("a"));
  runFor(Milliseconds(1000));
  const auto &Task = Owner->scheduler().job("a")->Progress.Steps[0][0];
  EXPECT_GE(Task.LastRunNumber, 2U);
  EXPECT_LE(Task.LastRunNumber, 8U);
  Workers["w1"].MisdirectsStarts = false;
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; },
                       Milliseconds(2500)));
}

// Guards against a run that is never given up: a change of its worker moves the
// session's next visit behind the time for which the timer is set.
TEST_F(WorkerReachabilityTest, leasesAreCheckedAfterAVisitWasPutOff) {
  ASSERT_NO_FATAL_FAILURE(startOwnerWithLongRun());
  Workers["w1"].Unresponsive = true;
  runFor(Milliseconds(300));
  Registry.drain("w1");
  EXPECT_TRUE(runUntil([&] { return Owner->scheduler().runs().empty(); },
                       Milliseconds(3000)));
}

// Guards against a task that never ends: it makes no progress on a worker that
// answers but whose entry has expired, for example because the store was down.
TEST_F(WorkerReachabilityTest, stalledRunOfAnUnregisteredWorkerIsStopped) {
  ASSERT_NO_FATAL_FAILURE(startOwnerWithLongRun());
  runFor(Milliseconds(100));
  Registry.add("w2");
  Registry.remove("w1");
  EXPECT_TRUE(runUntil([&] { return Workers["w2"].Started.size() == 1; }));
  EXPECT_EQ(Workers.runningCopiesOf("a"), 1U);
}

// Guards against runs that are placed and lost hundreds of times, and against a
// flood of calls: the worker's entry tells its incarnation, its replies do not,
// so that no start can be sent.
TEST_F(WorkerReachabilityTest, workerThatDoesNotTellItsProcessGetsNoRuns) {
  Registry.add("w1");
  Workers["w1"].TellsIncarnation = false;
  startOwner();
  runFor(Milliseconds(30));
  submit(job("a"));
  runFor(Milliseconds(1500));
  EXPECT_EQ(Owner->scheduler().job("a")->Progress.Steps[0][0].LastRunNumber,
            0U);
  EXPECT_LE(Workers.orderCount(), 10U);
}

// Guards against a flood of calls to workers that cannot be reached.
TEST_F(WorkerReachabilityTest, probesOfAWorkerThatCannotBeReachedAreFew) {
  Settings.RenewReplyMargin = Milliseconds(10);
  Registry.add("w1");
  Workers["w1"].Unresponsive = true;
  startOwner();
  runFor(Milliseconds(3000));
  EXPECT_GE(Workers.orderCount(), 3U);
  EXPECT_LE(Workers.orderCount(), 10U);
}

} // namespace
} // namespace jayramp::test
