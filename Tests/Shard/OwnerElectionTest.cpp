#include "ShardFixture.h"

#include "Shard/OwnerElection.h"

namespace jayramp::test {
namespace {

using Mode = FakeRowStore::Mode;
using shard::OwnerElection;

class OwnerElectionTest : public ShardFixture {
protected:
  OwnerElectionTest() { Settings.TakeoverTimeout = Milliseconds(120); }

  auto candidate(const std::string &Host, Milliseconds Delay = Milliseconds(0),
                 bool LowCapacity = false) -> std::unique_ptr<OwnerElection> {
    auto Election = std::make_unique<OwnerElection>(
        Loop, Store, "pool", Settings,
        OwnerElection::Candidate{Host, Host + "-life", Delay, LowCapacity},
        [this, Host](shard::Ownership Held) {
          Winners.push_back(Host);
          Token = Held.Owner.FencingToken;
        });
    Election->start();
    return Election;
  }

  auto sendHeartbeat() -> void {
    Store.put(Rows.heartbeatKey(),
              shard::encodeHeartbeat({Token, ++HeartbeatCount, Counts}));
  }

  std::vector<std::string> Winners;
  std::uint64_t Token = 0;
  std::uint64_t HeartbeatCount = 0;
  std::optional<std::map<std::string, std::uint64_t>> Counts;
};

TEST_F(OwnerElectionTest, exactlyOneHostTakesAVacantShard) {
  const auto One = candidate("one");
  const auto Two = candidate("two");
  ASSERT_TRUE(runUntil([&] { return !Winners.empty(); }));
  for (int Count = 0; Count < 10; ++Count) {
    sendHeartbeat();
    runFor(Milliseconds(20));
  }
  EXPECT_EQ(Winners.size(), 1U);
  EXPECT_EQ(Token, 1U);
}

TEST_F(OwnerElectionTest, takesOverFromASilentOwnerWithAHigherFencingToken) {
  const auto One = candidate("one");
  ASSERT_TRUE(runUntil([&] { return Winners.size() == 1; }));
  const auto Two = candidate("two");
  ASSERT_TRUE(runUntil([&] { return Winners.size() == 2; }));
  EXPECT_EQ(Winners[1], "two");
  EXPECT_EQ(Token, 2U);
}

// Guards against a takeover from a live owner by a host that receives
// heartbeats late.
TEST_F(OwnerElectionTest, heartbeatNotYetSeenPreventsTheTakeover) {
  Store.put(Rows.ownerKey(), shard::encodeOwner({"one", "life", 1, false}));
  const auto Two = candidate("two");
  runFor(Milliseconds(60));
  Store.setMode(Mode::Holding);
  ASSERT_TRUE(runUntil([&] { return Store.heldCount() == 1; }));
  sendHeartbeat();
  Store.release();
  runFor(Milliseconds(60));
  EXPECT_TRUE(Winners.empty());
}

// Guards against a shard that nobody schedules because the takeover was written
// but its answer was lost.
TEST_F(OwnerElectionTest, becomesOwnerIfTheTakeoverWasAppliedWithoutAnAnswer) {
  Store.setMode(Mode::LosingAnswers);
  const auto One = candidate("one");
  EXPECT_TRUE(runUntil([&] { return Winners.size() == 1; }));
  EXPECT_EQ(Token, 1U);
}

// Guards against repeated takeovers while the store is slow: heartbeats are
// late then, and each attempt adds load to the store.
TEST_F(OwnerElectionTest, extendsTheTakeoverTimeoutWhileTheStoreIsSlow) {
  Store.put(Rows.ownerKey(), shard::encodeOwner({"one", "life", 1, false}));
  Store.setLatency(Milliseconds(100));
  const auto Two = candidate("two");
  runFor(Milliseconds(600));
  EXPECT_TRUE(Winners.empty());
  EXPECT_TRUE(runUntil([&] { return !Winners.empty(); }));
}

// Guards against hosts that take over a shard from each other endlessly because
// each new owner needs longer for its recovery than the takeover timeout.
TEST_F(OwnerElectionTest, extendsTheTakeoverTimeoutAfterEachOwnerChange) {
  const auto Two = candidate("two");
  Store.put(Rows.ownerKey(), shard::encodeOwner({"a", "life", 1, false}));
  runFor(Milliseconds(30));
  Store.put(Rows.ownerKey(), shard::encodeOwner({"b", "life", 2, false}));
  runFor(Milliseconds(30));
  Store.put(Rows.ownerKey(), shard::encodeOwner({"c", "life", 3, false}));
  runFor(Milliseconds(600));
  EXPECT_TRUE(Winners.empty());
  EXPECT_TRUE(runUntil([&] { return !Winners.empty(); }));
}

// Guards against a takeover from a live owner at the end of an outage of its
// partition: its heartbeats failed for the same reason as the takeover
// attempts.
TEST_F(OwnerElectionTest, doesNotCountAStoreOutageAsOwnerSilence) {
  const auto One = candidate("one");
  ASSERT_TRUE(runUntil([&] { return Winners.size() == 1; }));
  sendHeartbeat();
  const auto Two = candidate("two");
  runFor(Milliseconds(30));
  Store.setPartitionDown("pool", true);
  // Hosts delay their next attempt after a failed one, so no attempt coincides
  // with the end of the outage.
  runFor(Settings.TakeoverTimeout * 2);
  Store.setPartitionDown("pool", false);
  for (int Count = 0; Count < 40; ++Count) {
    sendHeartbeat();
    runFor(Milliseconds(20));
  }
  EXPECT_EQ(Winners.size(), 1U);
}

// Guards against a takeover from a live owner at the end of a store outage by a
// host that could not receive its heartbeats.
TEST_F(OwnerElectionTest, waitsForAHeartbeatAfterAStoreOutage) {
  Store.put(Rows.ownerKey(), shard::encodeOwner({"one", "life", 1, false}));
  Token = 1;
  sendHeartbeat();
  const auto Two = candidate("two");
  runFor(Milliseconds(30));
  Store.setMode(Mode::Refusing);
  runFor(Settings.TakeoverTimeout / 2);
  Store.setMode(Mode::Serving);
  runFor(Settings.TakeoverTimeout * 3 / 4);
  EXPECT_TRUE(Winners.empty());
}

// Guards against returning outdated counts of waiting jobs. Without a recent
// count, callers are answered from the waiting rows.
TEST_F(OwnerElectionTest, returnsTheOwnersCountsOnlyWhileTheyAreRecent) {
  const auto Two = candidate("two");
  runFor(Milliseconds(30));
  EXPECT_FALSE(Two->recentWaitingCount("queue"));
  Counts = std::map<std::string, std::uint64_t>{{"queue", 3}};
  sendHeartbeat();
  EXPECT_TRUE(runUntil([&] { return Two->recentWaitingCount("queue") == 3U; }));
  EXPECT_EQ(Two->recentWaitingCount("other"), 0U);
  Counts.reset();
  sendHeartbeat();
  EXPECT_TRUE(runUntil([&] { return !Two->recentWaitingCount("queue"); }));
  Counts = std::map<std::string, std::uint64_t>{{"queue", 4}};
  sendHeartbeat();
  EXPECT_TRUE(runUntil([&] { return Two->recentWaitingCount("queue") == 4U; }));
  runFor(Milliseconds(1100));
  EXPECT_FALSE(Two->recentWaitingCount("queue"));
}

// Guards against a shard without an owner after all of the hosts that follow
// its heartbeats closely were lost.
TEST_F(OwnerElectionTest, farCandidateTakesOverIfTheNearOnesDoNot) {
  Store.put(Rows.ownerKey(), shard::encodeOwner({"lost", "life", 1, false}));
  auto Far = std::make_unique<OwnerElection>(
      Loop, Store, "pool", Settings,
      OwnerElection::Candidate{"far", "far-life", Milliseconds(0), false,
                               [] { return std::size_t(100); }},
      [this](const shard::Ownership &) { Winners.push_back("far"); });
  Far->start();
  runFor(Settings.TakeoverTimeout * 3);
  EXPECT_TRUE(Winners.empty());
  EXPECT_TRUE(runUntil([&] { return !Winners.empty(); }));
}

// Guards against a host with low capacity that keeps its shard after a restart
// although a stronger host is available.
TEST_F(OwnerElectionTest, lowCapacityHostLeavesItsShardToOthersAfterARestart) {
  Store.put(Rows.ownerKey(), shard::encodeOwner({"weak", "earlier", 1, false}));
  const auto Weak = candidate("weak", Milliseconds(30), true);
  const auto Strong = candidate("strong");
  ASSERT_TRUE(runUntil([&] { return !Winners.empty(); }));
  EXPECT_EQ(Winners.front(), "strong");
}

TEST_F(OwnerElectionTest, lowCapacityHostTakesItsShardBackIfNoOtherHostDoes) {
  Store.put(Rows.ownerKey(), shard::encodeOwner({"weak", "earlier", 1, false}));
  const auto Weak = candidate("weak", Milliseconds(30), true);
  EXPECT_TRUE(runUntil([&] { return !Winners.empty(); }));
}

TEST_F(OwnerElectionTest, releasedShardIsTakenWithoutWaitingForTheTimeout) {
  Settings.TakeoverTimeout = Milliseconds(60000);
  const auto One = candidate("one");
  ASSERT_TRUE(runUntil([&] { return Winners.size() == 1; }));
  const auto Two = candidate("two");
  runFor(Milliseconds(30));
  One->resign([] {});
  EXPECT_TRUE(runUntil([&] { return Winners.size() == 2; }));
}

} // namespace
} // namespace jayramp::test
