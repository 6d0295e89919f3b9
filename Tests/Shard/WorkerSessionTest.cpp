#include "ShardFixture.h"

namespace jayramp::test {
namespace {

/// A worker that leaves service discovery while a call to it is in flight.
class WorkerSessionTest : public ShardFixture {
protected:
  auto journalOf(const std::string &Job) -> std::string {
    return Rows.journalPartitions()[Rows.preferredJournalIndex(Job)];
  }

  /// Returns a job of two tasks, one after the other, of which only w1 can run
  /// the first and only w2 the second.
  static auto twoStepJob() -> scheduling::JobSpec {
    auto Job = job("a");
    Job.Steps[0].Need = {1000, 64000, 0};
    Job.Steps.push_back(Job.Steps[0]);
    Job.Steps[1].Need = {1000, 1000, 8};
    Job.Steps[1].After = {0};
    return Job;
  }

  auto addSecondWorker() -> void { Registry.add("w2", "r1", {64000, 2000, 8}); }

  /// Leaves a lease renewal in flight to w2, which has no runs and no entry in
  /// service discovery any more.
  auto forgetWorkerWithARenewalInFlight() -> void {
    Settings.RenewWait = Milliseconds(1000);
    Settings.LeaseDuration = Milliseconds(2000);
    Registry.add("w1", "r1", {64000, 128000, 0});
    addSecondWorker();
    Workers["w2"].WorkTime = Milliseconds(60000);
    startOwner();
    runFor(Milliseconds(30));
    submit(twoStepJob());
    ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
    // The second task is placed, but cannot be recorded, and is withdrawn.
    Store.setPartitionDown(journalOf("a"), true);
    ASSERT_TRUE(runUntil([&] { return Workers["w2"].RenewalsInFlight == 1; }));
    ASSERT_TRUE(runUntil([&] { return Owner->scheduler().runs().empty(); }));
    Registry.remove("w2");
    runFor(Milliseconds(10));
    ASSERT_EQ(Workers["w2"].RenewalsInFlight, 1U);
  }
};

// Guards against running a task twice: if the worker returns while a call to it
// is in flight, two sessions act for it, and one takes the starts of the other
// for starts that were never sent.
TEST_F(WorkerSessionTest, workerThatReturnsDuringACallHasOneSession) {
  forgetWorkerWithARenewalInFlight();
  addSecondWorker();
  Store.setPartitionDown(journalOf("a"), false);
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 2; }));
  runFor(Milliseconds(400));
  EXPECT_EQ(Workers["w2"].MaxRenewalsInFlight, 1U);
}

// Guards against a use after free: the reply to a call to a worker that was
// forgotten arrives after the end of the owner.
TEST_F(WorkerSessionTest, replyAfterTheEndOfTheOwnerHasNoEffect) {
  forgetWorkerWithARenewalInFlight();
  Owner.reset();
  const auto OrdersBefore = Workers.orderCount();
  EXPECT_TRUE(runUntil([&] { return Workers["w2"].RenewalsInFlight == 0; }));
  runFor(Milliseconds(100));
  EXPECT_EQ(Workers.orderCount(), OrdersBefore);
}

// Guards against ends that are never acknowledged: the worker's entry expires
// while the store does not accept the record of an end.
TEST_F(WorkerSessionTest, endOfAWorkerWithoutAnEntryIsAcknowledged) {
  Registry.add("w1");
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  Store.setMode(FakeRowStore::Mode::Refusing);
  ASSERT_TRUE(runUntil([&] { return Owner->scheduler().runs().empty(); }));
  Registry.remove("w1");
  runFor(Milliseconds(50));
  Store.setMode(FakeRowStore::Mode::Serving);
  EXPECT_TRUE(runUntil([&] { return Workers["w1"].LastSeenEnd == 1; }));
}

// Guards against ends that are never acknowledged: the renewal that
// acknowledges the last end of a worker does not reach it, and the worker is
// idle afterwards.
TEST_F(WorkerSessionTest, acknowledgementThatWasLostIsSentAgain) {
  Registry.add("w1");
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  Store.setTransactionDelay(Milliseconds(50));
  ASSERT_TRUE(runUntil([&] { return Owner->scheduler().runs().empty(); }));
  Workers["w1"].Unresponsive = true;
  runFor(Milliseconds(300));
  Workers["w1"].Unresponsive = false;
  EXPECT_TRUE(runUntil([&] { return Workers["w1"].LastSeenEnd == 1; }));
}

} // namespace
} // namespace jayramp::test
