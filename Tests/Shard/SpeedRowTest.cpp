#include "ShardFixture.h"

#include "Shard/SpeedRowSchedule.h"

namespace jayramp::test {
namespace {

using scheduling::SpeedLevel;
using scheduling::SpeedSummary;

auto slowRack(const std::string &Rack, std::int32_t LogCents) -> SpeedSummary {
  return {{{SpeedLevel::Zone, "", 0}, {SpeedLevel::Rack, Rack, LogCents}}, {}};
}

/// A takeover with a row that the previous owner has written.
class SpeedRowTest : public ShardFixture {
protected:
  SpeedRowTest() {
    Registry.add("w1", "r1");
    Registry.add("w2", "r2");
  }

  auto putRow(const SpeedSummary &Known) -> void {
    Store.put(Rows.speedKey(), shard::encodeSpeeds(Known));
  }

  auto storedRow() const -> SpeedSummary {
    const auto *Row = Store.row(Rows.speedKey());
    return Row ? shard::decodeSpeeds(Row->Value).value() : SpeedSummary{};
  }

  /// Starts the owner and runs a job, so that the owner has made decisions.
  auto startOwnerAndRunJob() -> bool {
    startOwner();
    submit(job("a"));
    return runUntil([&] { return Workers.startsOf("a") == 1; });
  }

  auto factor(const std::string &Worker) const -> double {
    return Owner->scheduler().worker(Worker)->TimeFactor;
  }
};

TEST_F(SpeedRowTest, survivesEncoding) {
  const SpeedSummary Known{{{SpeedLevel::Zone, "a", -29},
                            {SpeedLevel::Kind, "a/k", 12},
                            {SpeedLevel::Rack, "a/k/r", 40}},
                           {{7, 110}, {SpeedSummary::workerHash("w"), 60}}};
  const auto Decoded = shard::decodeSpeeds(shard::encodeSpeeds(Known));
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value(), Known);
}

// Guards against urgent work on slow workers right after a takeover.
TEST_F(SpeedRowTest, aNewOwnerKnowsTheSpeedsOfItsPredecessor) {
  putRow(slowRack("/r2", 90));
  ASSERT_TRUE(startOwnerAndRunJob());
  EXPECT_TRUE(Owner->scheduler().runTimes().knowsSpeeds());
  EXPECT_GT(factor("w2") / factor("w1"), 1.7);
}

TEST_F(SpeedRowTest, aNewOwnerKnowsSingleSlowWorkers) {
  putRow({{{SpeedLevel::Zone, "", 0}}, {{SpeedSummary::workerHash("w1"), 90}}});
  ASSERT_TRUE(startOwnerAndRunJob());
  EXPECT_TRUE(Owner->scheduler().runTimes().knowsSpeeds());
  EXPECT_GT(factor("w1") / factor("w2"), 1.7);
}

// Guards against a recovery that waits for a row which is only useful.
TEST_F(SpeedRowTest, aTakeoverDoesNotWaitForTheRow) {
  putRow(slowRack("/r2", 90));
  Store.setReadsDown(Rows.speedKey().Partition, true);
  ASSERT_TRUE(startOwnerAndRunJob());
  EXPECT_FALSE(Owner->scheduler().runTimes().knowsSpeeds());
}

TEST_F(SpeedRowTest, aMalformedRowIsIgnored) {
  Store.put(Rows.speedKey(), "no message");
  ASSERT_TRUE(startOwnerAndRunJob());
  EXPECT_FALSE(Owner->scheduler().runTimes().knowsSpeeds());
  EXPECT_DOUBLE_EQ(factor("w1"), 1.0);
}

// Guards against a successor that erases the row before it knows any worker.
TEST_F(SpeedRowTest, theRowStaysWhileTheOwnerRecovers) {
  const auto Known = slowRack("/r2", 90);
  putRow(Known);
  Store.setReadsDown(Rows.journalPartitions().front(), true);
  startOwner();
  runFor(Milliseconds(400));
  ASSERT_TRUE(Store.row(Rows.heartbeatKey()));
  EXPECT_EQ(storedRow(), Known);
}

// Guards against a row that keeps groups which are gone.
TEST_F(SpeedRowTest, theRowFollowsWhatIsKnown) {
  auto Outdated = slowRack("/r2", 90);
  Outdated.Groups.push_back({SpeedLevel::Rack, "/gone", 90});
  putRow(Outdated);
  ASSERT_TRUE(startOwnerAndRunJob());
  EXPECT_TRUE(runUntil([&] {
    return storedRow().Groups.size() == 2 &&
           storedRow().Groups.back().Name == "/r2";
  }));
}

// Guards against a write whenever one of many workers changes a little.
TEST(SpeedRowScheduleTest, fewChangesOfManyWorkersAreNotNoticeable) {
  SpeedSummary Known;
  for (std::uint32_t Hash = 0; Hash < 100; ++Hash)
    Known.SlowWorkers[Hash] = 80;
  auto Changed = Known;
  Changed.SlowWorkers.erase(5);
  Changed.SlowWorkers[7] = 20;
  EXPECT_FALSE(Changed.differsNoticeably(Known));
  for (std::uint32_t Hash = 40; Hash < 60; ++Hash)
    Changed.SlowWorkers.erase(Hash);
  EXPECT_TRUE(Changed.differsNoticeably(Known));
  EXPECT_TRUE(Known.differsNoticeably(Changed));
}

// Guards against a write with each heartbeat.
TEST(SpeedRowScheduleTest, writesOnlyNoticeableChanges) {
  shard::SpeedRowSchedule Schedule;
  const auto At = [](std::int64_t Ms) {
    return TimePoint(std::chrono::hours(1)) + Milliseconds(Ms);
  };
  EXPECT_FALSE(Schedule.takeDue(SpeedSummary{}, At(0)));
  ASSERT_TRUE(Schedule.takeDue(slowRack("r", 50), At(0)));
  // The write failed, so the row is due again.
  EXPECT_FALSE(Schedule.takeDue(slowRack("r", 50), At(1000)));
  ASSERT_TRUE(Schedule.takeDue(slowRack("r", 50), At(4000)));
  Schedule.confirmWrite();
  EXPECT_FALSE(Schedule.takeDue(slowRack("r", 55), At(8000)));
  EXPECT_TRUE(Schedule.takeDue(slowRack("r", 65), At(8000)));
  Schedule.confirmWrite();
  EXPECT_TRUE(Schedule.takeDue(SpeedSummary{}, At(12000)));
}

// Guards against a successor that replaces the row before it knows more.
TEST(SpeedRowScheduleTest, keepsTheStoredRowAtFirst) {
  shard::SpeedRowSchedule Schedule;
  const auto ReadAt = TimePoint(std::chrono::hours(1));
  Schedule.recordStored(slowRack("r", 50), ReadAt);
  EXPECT_FALSE(Schedule.takeDue(SpeedSummary{}, ReadAt + Milliseconds(2999)));
  EXPECT_FALSE(Schedule.takeDue(std::nullopt, ReadAt + Milliseconds(3000)));
  EXPECT_TRUE(Schedule.takeDue(SpeedSummary{}, ReadAt + Milliseconds(3000)));
}

} // namespace
} // namespace jayramp::test
