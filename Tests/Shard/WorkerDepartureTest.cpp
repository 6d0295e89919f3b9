#include "ShardFixture.h"

namespace jayramp::test {
namespace {

using scheduling::JobState;

/// A worker whose entry in service discovery is removed while it has a run.
class WorkerDepartureTest : public ShardFixture {
protected:
  auto startRunOnFirstWorker() -> void {
    ASSERT_NO_FATAL_FAILURE(startOwnerWithLongRun());
    runFor(Milliseconds(30));
    Registry.add("w2");
    Workers["w2"].WorkTime = Milliseconds(60000);
  }
};

// Guards against running a task twice: the entry of a draining worker expires
// in an outage of the store although the worker goes on.
TEST_F(WorkerDepartureTest, runsOfADrainingWorkerThatStillAnswersGoOn) {
  startRunOnFirstWorker();
  Registry.drain("w1");
  runFor(Milliseconds(20));
  Registry.remove("w1");
  runFor(Milliseconds(200));
  EXPECT_EQ(Workers.startsOf("a"), 1U);
  EXPECT_EQ(Workers.runningCopiesOf("a"), 1U);
}

// Guards against work that waits for the end of its lease although its worker
// has left as announced.
TEST_F(WorkerDepartureTest,
       runsOfAWorkerThatHasLeftStartAgainBeforeTheLeaseEnds) {
  Settings.LeaseDuration = Milliseconds(4000);
  startRunOnFirstWorker();
  Registry.drain("w1");
  runFor(Milliseconds(20));
  Workers["w1"].Unresponsive = true;
  Registry.remove("w1");
  EXPECT_TRUE(runUntil([&] { return Workers["w2"].Started.size() == 1; },
                       Milliseconds(1500)));
}

// Guards against running a task twice: a draining worker is cut off, and its
// entry expires while it goes on until the end of its lease.
TEST_F(WorkerDepartureTest, expiredEntryOfASilentDrainingWorkerEndsNoRun) {
  Settings.MinEntryLifetime = Milliseconds(40);
  startRunOnFirstWorker();
  Registry.drain("w1");
  runFor(Settings.MinEntryLifetime + Milliseconds(20));
  Workers["w1"].Unresponsive = true;
  const auto Silent = Clock::now();
  Registry.remove("w1");
  ASSERT_TRUE(runUntil([&] { return Workers["w2"].Started.size() == 1; }));
  EXPECT_GE(Clock::now() - Silent, Settings.LeaseDuration);
  EXPECT_EQ(Workers.runningCopiesOf("a"), 1U);
}

// Guards against running a task twice: the draining entry of the former process
// and its removal are seen after an answer of the next process, which then
// cannot be reached.
TEST_F(WorkerDepartureTest, departureOfTheFormerProcessEndsNoRunOfTheNext) {
  Settings.LeaseDuration = Milliseconds(4000);
  ASSERT_NO_FATAL_FAILURE(startOwnerWithLongRunAfterARestart());
  runFor(Milliseconds(30));
  Registry.add("w2");
  Workers["w2"].WorkTime = Milliseconds(60000);
  Registry.drain("w1");
  runFor(Milliseconds(20));
  Workers["w1"].Unresponsive = true;
  Registry.remove("w1");
  runFor(Milliseconds(1500));
  EXPECT_EQ(Workers.startsOf("a"), 1U);
  EXPECT_EQ(Workers.runningCopiesOf("a"), 1U);
}

// Guards against running a task twice: an owner takes the shard over and sees
// the late departure of a process before any answer. The owner before it has
// started the task on the next process.
TEST_F(WorkerDepartureTest, lateDepartureAfterATakeoverEndsNoRun) {
  Settings.LeaseDuration = Milliseconds(4000);
  ASSERT_NO_FATAL_FAILURE(startOwnerWithLongRunAfterARestart());
  runFor(Milliseconds(30));
  Owner.reset();
  Workers["w1"].Unresponsive = true;
  startOwner(2);
  Registry.add("w2");
  Workers["w2"].WorkTime = Milliseconds(60000);
  runFor(Milliseconds(200));
  Registry.drain("w1");
  Registry.remove("w1");
  runFor(Milliseconds(1500));
  EXPECT_EQ(Workers.startsOf("a"), 1U);
  EXPECT_EQ(Workers.runningCopiesOf("a"), 1U);
}

} // namespace
} // namespace jayramp::test
