#include "ShardFixture.h"

namespace jayramp::test {
namespace {

using scheduling::JobState;
using Mode = FakeRowStore::Mode;

class ShardOwnerTest : public ShardFixture {};

TEST_F(ShardOwnerTest, runsAJobToItsEnd) {
  Registry.add("w1");
  startOwner();
  submit(job("a", 3));
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
  EXPECT_EQ(Workers.startsOf("a"), 3U);
}

// Guards against two runs of a task: a successor can only know of a run that
// was durable before it started.
TEST_F(ShardOwnerTest, startsNothingBeforeItsWriteIsCommitted) {
  Registry.add("w1");
  Workers["w1"].AnswerDelay = Milliseconds(20);
  submit(job("a"));
  runFor(Milliseconds(5));
  startOwner();
  Store.setMode(Mode::Holding);
  runFor(Milliseconds(150));
  EXPECT_EQ(Workers.startsOf("a"), 0U);
  Store.release();
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
}

// Guards against a job that waits for ever: each order to a silent worker used
// to extend its leases, so that they never ran out.
TEST_F(ShardOwnerTest, restartsRunsOfASilentWorkerOnceTheirLeasesRanOut) {
  Registry.add("w1");
  Workers["w1"].WorkTime = Milliseconds(60000);
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  runFor(Milliseconds(30));
  Workers["w1"].Unresponsive = true;
  Registry.add("w2");
  EXPECT_TRUE(runUntil([&] { return Workers["w2"].Started.size() == 1; }));
}

// Guards against a restart while the first run may still be alive.
TEST_F(ShardOwnerTest, restartsNothingBeforeTheLeasesRanOut) {
  Registry.add("w1");
  Workers["w1"].WorkTime = Milliseconds(60000);
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  Workers["w1"].Unresponsive = true;
  const auto Silent = Clock::now();
  Registry.add("w2");
  ASSERT_TRUE(runUntil([&] { return Workers["w2"].Started.size() == 1; }));
  EXPECT_GE(Clock::now() - Silent, Settings.LeaseDuration);
}

// Guards against a crash: the callback that destroys the owner must survive the
// owner.
TEST_F(ShardOwnerTest, mayBeDestroyedWhenItLosesTheShard) {
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(20));
  Store.put(Rows.ownerKey(), shard::encodeOwner({"other", "other", 2, false}));
  EXPECT_TRUE(runUntil([&] { return !Owner; }));
  EXPECT_EQ(LostName, "a name too long for small strings");
}

// Guards against a doubled run: a start without an answer may have begun.
TEST_F(ShardOwnerTest, repeatsAStartWithoutAnAnswerUnderTheSameNumber) {
  Registry.add("w1");
  Workers["w1"].UnansweredStarts = 2;
  startOwner();
  submit(job("a"));
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
  EXPECT_EQ(Workers.startsOf("a"), 1U);
}

// Guards against a forgotten end: a successor must still see an end whose note
// was lost with its predecessor.
TEST_F(ShardOwnerTest, successorTakesOverRunsAndEnds) {
  Registry.add("w1");
  Workers["w1"].WorkTime = Milliseconds(100);
  startOwner();
  submit(job("a", 2));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 2; }));
  Owner.reset();
  runFor(Milliseconds(120));
  startOwner(2);
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
  EXPECT_EQ(Workers.startsOf("a"), 2U);
}

// Guards against a job that is lost when its write had no answer.
TEST_F(ShardOwnerTest, resolvesItsWriteWithoutAnAnswer) {
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(30));
  submit(job("a"));
  runFor(Milliseconds(1));
  Store.setMode(Mode::LosingAnswers);
  runFor(Milliseconds(40));
  Store.setMode(Mode::Serving);
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
  EXPECT_EQ(Workers.startsOf("a"), 1U);
}

// Guards against a start on a worker that is known to leave: the decision was
// made before, its write took long.
TEST_F(ShardOwnerTest, startsNothingOnAWorkerThatHasBegunToDrain) {
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(30));
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Store.transactionCount() > 1; }));
  runFor(Milliseconds(2));
  Store.setMode(Mode::Holding);
  submit(job("b"));
  Store.release();
  Store.setMode(Mode::Holding);
  ASSERT_TRUE(runUntil([&] { return Owner->scheduler().job("b") != nullptr; }));
  runFor(Milliseconds(10));
  Registry.drain("w1");
  Registry.add("w2");
  runFor(Milliseconds(10));
  Store.release();
  EXPECT_TRUE(runUntil([&] { return stateOf("b") == JobState::Completed; }));
  for (const auto &Started : Workers["w1"].Started)
    EXPECT_NE(Started.Job, "b");
}

// Guards against starts on a worker that has said that it leaves, by an owner
// that is told so late: its link can be full for seconds.
TEST_F(ShardOwnerTest, startsNothingWhileTheListOfWorkersIsOld) {
  Settings.MaxWorkerListAge = Milliseconds(50);
  Registry.add("w1");
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  Registry.freeze();
  runFor(Milliseconds(60));
  submit(job("b"));
  runFor(Milliseconds(200));
  EXPECT_EQ(Workers.startsOf("b"), 0);
  Registry.unfreeze();
  EXPECT_TRUE(runUntil([&] { return Workers.startsOf("b") == 1; }));
}

// Guards against a run that counts as alive for ever after its worker's process
// started anew under the same id.
TEST_F(ShardOwnerTest, restartsRunsOfAWorkerThatWasReborn) {
  Registry.add("w1");
  Workers["w1"].WorkTime = Milliseconds(60000);
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  runFor(Milliseconds(30));
  Workers.restart("w1");
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
}

TEST_F(ShardOwnerTest, stopsARunOfACancelledJob) {
  Registry.add("w1");
  Workers["w1"].WorkTime = Milliseconds(60000);
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  std::optional<shard::CallOutcome> Cancelled;
  Gateway.cancel("pool", "a", Clock::now() + Milliseconds(1000),
                 [&](shard::CallOutcome Outcome) { Cancelled = Outcome; });
  EXPECT_TRUE(runUntil([&] { return Workers["w1"].Running.empty(); }));
  EXPECT_EQ(Cancelled, shard::CallOutcome::Done);
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Cancelled; }));
}

TEST_F(ShardOwnerTest, failsAJobAfterItsAttempts) {
  Registry.add("w1");
  Workers["w1"].FailsTasks = true;
  startOwner();
  submit(job("a"));
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Failed; }));
  EXPECT_EQ(Workers.startsOf("a"), 2U);
}

// Guards against an outage of one partition of the store that stops all work:
// jobs that come meanwhile are recorded in another one.
TEST_F(ShardOwnerTest, startsNewJobsWhileAJournalPartitionIsDown) {
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(30));
  // Changes are numbered; a job that moves must not wait for an old number.
  for (const auto *Earlier : {"i", "m"}) {
    submit(job(Earlier));
    ASSERT_TRUE(
        runUntil([&] { return stateOf(Earlier) == JobState::Completed; }));
  }
  const auto Journals = Rows.journalPartitions();
  Store.setPartitionDown(Journals[Rows.preferredJournalIndex("a")], true);
  Store.setPartitionDown(Rows.ownerKey().Partition, true);
  submit(job("a"));
  submit(job("e"));
  ASSERT_EQ(Rows.preferredJournalIndex("a"), Rows.preferredJournalIndex("e"));
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
  EXPECT_TRUE(runUntil([&] { return stateOf("e") == JobState::Completed; }));
  EXPECT_EQ(Workers.startsOf("a"), 1U);
}

// Guards against a run that is recorded in a partition that nobody reads: a
// write without an answer binds the job to its partition.
TEST_F(ShardOwnerTest, keepsAJobInThePartitionThatMayHaveItsRow) {
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(30));
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Owner->scheduler().job("a") != nullptr; }));
  Store.setMode(Mode::Silent);
  runFor(Milliseconds(20));
  Store.setMode(Mode::Serving);
  const auto Journals = Rows.journalPartitions();
  const auto Home = Rows.preferredJournalIndex("a");
  Store.setPartitionDown(Journals[Home], true);
  runFor(Milliseconds(200));
  EXPECT_EQ(Workers.startsOf("a"), 0U);
  Store.setPartitionDown(Journals[Home], false);
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
  EXPECT_NE(Store.row(Rows.progressKey(Journals[Home], "a")), nullptr);
}

// Guards against room that is kept for tasks whose start can't be recorded.
TEST_F(ShardOwnerTest, keepsNoRoomForJobsThatCannotBeRecorded) {
  Registry.add("w1", "r1", {64000, 128000, 8});
  Workers["w1"].WorkTime = Milliseconds(60);
  startOwner();
  runFor(Milliseconds(30));
  submit(job("x", 1, false, 8));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("x") == 1; }));
  submit(job("a", 1, false, 8));
  runFor(Milliseconds(10));
  Store.setPartitionDown(
      Rows.journalPartitions()[Rows.preferredJournalIndex("a")], true);
  submit(job("b", 1, false, 8));
  EXPECT_TRUE(runUntil([&] { return stateOf("b") == JobState::Completed; }));
}

// Guards against two runs of a task after a takeover: an owner that is cut off
// but may still write to a partition must not have its writes missed.
TEST_F(ShardOwnerTest, waitsForEveryJournalPartitionAfterATakeover) {
  Registry.add("w1");
  Workers["w1"].WorkTime = Milliseconds(60000);
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  Owner.reset();
  const auto Journal =
      Rows.journalPartitions()[Rows.preferredJournalIndex("a")];
  Store.setPartitionDown(Journal, true);
  Registry.add("w2");
  startOwner(2);
  // Less than a lease.
  runFor(Milliseconds(100));
  EXPECT_EQ(Workers.startsOf("a"), 1U);
  Store.setPartitionDown(Journal, false);
  runFor(Milliseconds(100));
  EXPECT_EQ(Workers.startsOf("a"), 1U);
}

// Guards against writes of an owner that has been replaced without notice.
TEST_F(ShardOwnerTest, losesTheShardWhenAnotherClaimsAPartition) {
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(30));
  for (const auto &Journal : Rows.journalPartitions())
    Store.put(Rows.claimKey(Journal),
              shard::encodeOwner({"other", "other", 2, false}));
  submit(job("a"));
  EXPECT_TRUE(runUntil([&] { return !Owner; }));
  EXPECT_EQ(Workers.startsOf("a"), 0U);
}

// Guards against a second job from a request that was stored twice.
TEST_F(ShardOwnerTest, aRequestStoredInTwoPartitionsIsOneJob) {
  Registry.add("w1");
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
  const auto Other = Rows.intakePartitionsFor("a")[1];
  Store.put(Rows.jobKey(Other, "a"), shard::encodeJob(job("a")));
  Store.put(Rows.waitingKey(Other, "queue", "a"), "1");
  EXPECT_TRUE(runUntil(
      [&] { return !Store.row(Rows.waitingKey(Other, "queue", "a")); }));
  Owner.reset();
  startOwner(2);
  runFor(Milliseconds(60));
  EXPECT_EQ(Workers.startsOf("a"), 1U);
}

// Guards against urgent jobs that wait for a change feed that tells nothing for
// a while.
TEST_F(ShardOwnerTest, startsAJobThatItIsToldOfByAPeer) {
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(30));
  Store.setFeedStale(true);
  Gateway.setStoredRowListener(
      [this](const std::string &Shard, const store::Row &Row) {
        EXPECT_EQ(Shard, "pool");
        Owner->applyStoredRow(Row);
      });
  submit(job("a"));
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
  Store.setFeedStale(false);
  runFor(Milliseconds(60));
  EXPECT_EQ(Workers.startsOf("a"), 1U);
}

// Guards against a notice that ends the recovery before all jobs are known.
TEST_F(ShardOwnerTest, aNoticeDuringRecoveryIsLeftToTheFeed) {
  Registry.add("w1");
  Workers["w1"].WorkTime = Milliseconds(60000);
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  Owner.reset();
  startOwner(2);
  const auto Key = Rows.jobKey(Rows.intakePartitionsFor("a").front(), "a");
  Owner->applyStoredRow(*Store.row(Key));
  runFor(Milliseconds(60));
  EXPECT_EQ(Workers.startsOf("a"), 1U);
}

// Guards against a job that is missed when the store drops its history.
TEST_F(ShardOwnerTest, findsJobsAfterTheHistoryWasDropped) {
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(20));
  submit(job("a"));
  Store.dropHistory();
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; }));
}

} // namespace
} // namespace jayramp::test
