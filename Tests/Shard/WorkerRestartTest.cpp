#include "ShardFixture.h"

namespace jayramp::test {
namespace {

using scheduling::JobState;

/// A worker whose process restarts under the same id.
class WorkerRestartTest : public ShardFixture {
protected:
  /// Of the process of a worker before its first restart.
  static constexpr std::int64_t FirstIncarnation = 1;
  /// Later than the clock of a process that has just started shows.
  static constexpr std::int64_t FormerClockMs = 1'000'000'000;

  WorkerRestartTest() {
    Settings.MaxLeaseDuration = Milliseconds(1500);
    Workers.MaxLease = Settings.MaxLeaseDuration;
  }

  /// Adds a second worker, waits until the task of job a runs on it, and checks
  /// that it runs nowhere else.
  auto expectOneCopyOnceItRunsOn(const std::string &Worker) -> void {
    Settings.RenewWait = Milliseconds(60);
    Registry.add(Worker);
    Workers[Worker].WorkTime = Milliseconds(60000);
    ASSERT_TRUE(runUntil([&] { return Workers[Worker].Started.size() == 1; }));
    EXPECT_EQ(Workers.runningCopiesOf("a"), 1U);
  }
};

// Guards against running a task twice: the first lease of a worker whose
// process has restarted unnoticed is computed with the clock of its former
// process, so the worker shortens it only to the longest lease it grants.
TEST_F(WorkerRestartTest, leaseByTheClockOfTheFormerProcessIsWaitedFor) {
  ASSERT_NO_FATAL_FAILURE(startOwnerWithLongRunAfterARestart());
  runFor(Milliseconds(100));
  Workers["w1"].Unresponsive = true;
  expectOneCopyOnceItRunsOn("w2");
}

// Guards against running a task twice: the next process of a worker takes a
// start that was computed with the clock of the former one, and is cut off
// before any answer tells that it is another process.
TEST_F(WorkerRestartTest, startTakenByTheNextProcessIsNotGivenUpTooEarly) {
  Settings.RenewWait = Milliseconds(1000);
  ASSERT_NO_FATAL_FAILURE(startOwnerWithLongRunAfterARestart());
  runFor(Milliseconds(10));
  Workers["w1"].Unresponsive = true;
  expectOneCopyOnceItRunsOn("w2");
}

// Guards against running a task twice: an entry of the former process is seen
// after an answer of the next one, and a start gets its lease by the clock in
// that entry.
TEST_F(WorkerRestartTest, lateEntryOfTheFormerProcessDoesNotSetTheClock) {
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(30));
  Workers.restart("w1");
  submit(job("b"));
  ASSERT_TRUE(runUntil([&] { return stateOf("b") == JobState::Completed; }));
  // Until no earlier lease can be valid.
  runFor(Workers.MaxLease + Milliseconds(600));
  Settings.RenewWait = Milliseconds(1000);
  Workers["w1"].WorkTime = Milliseconds(60000);
  Registry.report("w1", FirstIncarnation, FormerClockMs);
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  runFor(Milliseconds(10));
  Workers["w1"].Unresponsive = true;
  expectOneCopyOnceItRunsOn("w2");
}

// Guards against running a task again after its success: the next process of a
// worker is told that ends up to a number of the former one are known, and
// forgets its own ends up to that number.
TEST_F(WorkerRestartTest, endsOfTheFormerProcessAreNotAcknowledgedToTheNext) {
  Registry.add("w1");
  startOwner();
  submit(job("b", 3));
  ASSERT_TRUE(runUntil([&] { return Workers["w1"].LastSeenEnd == 3; }));
  Settings.RenewWait = Milliseconds(1000);
  Settings.LeaseDuration = Milliseconds(2000);
  Workers["w1"].WorkTime = Milliseconds(60000);
  submit(job("c"));
  ASSERT_TRUE(runUntil([&] { return Workers["w1"].RenewalsInFlight == 1; }));
  runFor(Milliseconds(50));
  Workers.restart("w1");
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
  EXPECT_EQ(Workers.startsOf("a"), 1U);
}

// Guards against a task on a worker that does not suit it: the next process of
// a worker answers before its entry is seen, and gets tasks by the labels, the
// capacity and the state that the former one had reported.
TEST_F(WorkerRestartTest, nextProcessGetsNoTasksByTheReportOfTheFormer) {
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(30));
  Workers.restart("w1");
  submit(job("a"));
  runFor(Milliseconds(300));
  EXPECT_EQ(Workers.startsOf("a"), 0U);
  Registry.report("w1", Workers["w1"].Incarnation, 1);
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
}

} // namespace
} // namespace jayramp::test
