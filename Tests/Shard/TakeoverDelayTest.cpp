#include "EventRecorder.h"
#include "ShardFixture.h"

#include "Shard/OwnerElection.h"

namespace jayramp::test {
namespace {

using Mode = FakeRowStore::Mode;

class TakeoverDelayTest : public ShardFixture {
protected:
  /// Starts the election of host two for a shard that host one owns.
  auto startElection() -> void {
    Store.put(Rows.ownerKey(), shard::encodeOwner({"one", "life", 1, false}));
    Election = std::make_unique<shard::OwnerElection>(
        Loop, Store, "pool", Settings,
        shard::OwnerElection::Candidate{"two", "two-life"},
        [this](const shard::Ownership &) { ++Takeovers; });
    Election->start();
    runFor(Milliseconds(30));
  }

  auto runUntilReported(const std::string &Reason) -> bool {
    return runUntil([&] {
      return Events.count("takeover-delayed", "reason=" + Reason) == 1;
    });
  }

  EventRecorder Events;
  std::unique_ptr<shard::OwnerElection> Election;
  int Takeovers = 0;
};

// Guards against a shard without an acting owner and without a log line: hosts
// that get no changes from the store do not take it over.
TEST_F(TakeoverDelayTest, reportsAnInterruptedFeedOnceEachFewSeconds) {
  startElection();
  Store.setMode(Mode::Refusing);
  ASSERT_TRUE(runUntilReported("feed-interrupted"));
  EXPECT_EQ(Events.count("takeover-delayed", "owner=one"), 1U);
  runFor(Milliseconds(2000));
  EXPECT_EQ(Events.count("takeover-delayed"), 1U);
  EXPECT_TRUE(runUntil([&] { return Events.count("takeover-delayed") == 2; }));
}

// Guards against a takeover timeout that has grown long and is not logged.
TEST_F(TakeoverDelayTest, reportsTheLengthOfTheTimeout) {
  Settings.TakeoverTimeout = Milliseconds(10000);
  startElection();
  ASSERT_TRUE(runUntilReported("timeout"));
  // Doubled, because the owner has sent no heartbeat yet.
  EXPECT_EQ(Events.count("takeover-delayed", "timeout-ms=20000"), 1U);
}

// Guards against a silence that looks short in the log because each failed
// attempt restarts the takeover timeout.
TEST_F(TakeoverDelayTest, countsTheSilenceAcrossFailedAttempts) {
  Settings.TakeoverTimeout = Milliseconds(60);
  startElection();
  Store.setPartitionDown("pool", true);
  ASSERT_TRUE(runUntilReported("retry"));
  EXPECT_GT(Events.count("take-shard-refused"), 1U);
  EXPECT_EQ(Takeovers, 0);
}

// Guards against reports of owners that send heartbeats.
TEST_F(TakeoverDelayTest, isSilentWhileTheOwnerSendsHeartbeats) {
  Settings.TakeoverTimeout = Milliseconds(2000);
  startElection();
  constexpr std::uint64_t Heartbeats = 35;
  for (std::uint64_t Count = 1; Count <= Heartbeats; ++Count) {
    Store.put(Rows.heartbeatKey(),
              shard::encodeHeartbeat({1, Count, std::nullopt}));
    runFor(Milliseconds(100));
  }
  EXPECT_EQ(Events.count("takeover-delayed"), 0U);
}

} // namespace
} // namespace jayramp::test
