#include "EventRecorder.h"
#include "ShardFixture.h"

#include "Shard/RecoveryDelayLog.h"

namespace jayramp::test {
namespace {

class RecoveryDelayLogTest : public ShardFixture {
protected:
  /// The log without the store: a recovery that begins at \p Start.
  static auto logFrom(TimePoint Start) -> shard::RecoveryDelayLog {
    return {"pool", 7, Start};
  }

  EventRecorder Events;
};

// Guards against an owner that keeps the shard, acts on nothing and logs
// nothing because a partition can be claimed but not read.
TEST_F(RecoveryDelayLogTest, namesThePartitionThatCannotBeRead) {
  const auto Journal = Rows.journalPartitions().back();
  Store.setReadsDown(Journal, true);
  startOwner(3);
  ASSERT_TRUE(runUntil([&] { return Events.count("shard-recovering") == 1; }));
  EXPECT_EQ(Events.count("shard-recovering", "reason=progress-rows"), 1U);
  EXPECT_EQ(Events.count("shard-recovering", "unread=" + Journal), 1U);
  EXPECT_EQ(Events.count("shard-recovering", "unclaimed=none"), 1U);
  EXPECT_EQ(Events.count("shard-recovering", "token=3"), 1U);
  EXPECT_EQ(Events.count("shard-recovered"), 0U);
}

// Guards against the same silence while the table of jobs cannot be read.
TEST_F(RecoveryDelayLogTest, namesTheJobTable) {
  Store.setReadsDown(Rows.intakePartitions().front(), true);
  startOwner();
  ASSERT_TRUE(runUntil([&] { return Events.count("shard-recovering") == 1; }));
  EXPECT_EQ(Events.count("shard-recovering", "reason=job-table"), 1U);
  Store.setReadsDown(Rows.intakePartitions().front(), false);
  EXPECT_TRUE(runUntil([&] { return Events.count("shard-recovered") == 1; }));
}

// Guards against warnings of each ordinary takeover.
TEST_F(RecoveryDelayLogTest, isSilentForAShortRecovery) {
  const auto Start = Clock::now();
  auto Log = logFrom(Start);
  Log.report({{"pool$0"}, {}}, Start + Milliseconds(1999));
  EXPECT_EQ(Events.count("shard-recovering"), 0U);
}

// Guards against a line for each check while a recovery is held up for long.
TEST_F(RecoveryDelayLogTest, repeatsItselfOnlyEveryFewSeconds) {
  const auto Start = Clock::now();
  auto Log = logFrom(Start);
  constexpr int Seconds = 20;
  constexpr int ChecksPerSecond = 10;
  for (int Check = 0; Check < Seconds * ChecksPerSecond; ++Check)
    Log.report({{"pool$0"}, {"pool$1"}},
               Start + Milliseconds(1000) * Check / ChecksPerSecond);
  EXPECT_EQ(Events.count("shard-recovering", "reason=claims"), 6U);
  EXPECT_EQ(Events.count("shard-recovering", "unread=pool$1"), 6U);
}

} // namespace
} // namespace jayramp::test
