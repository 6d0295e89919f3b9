#include "FakeRelayTransport.h"
#include "ShardFixture.h"

#include "Relay/RelayServer.h"
#include "Relay/RelayingStore.h"

namespace jayramp::test {
namespace {

using Mode = FakeRowStore::Mode;
using relay::RelayPolicy;
using relay::RelayServer;
using shard::CallOutcome;

/// A host that may lose the store, next to a peer that has its own connection
/// to the store.
class RelayingStoreTest : public ShardFixture {
protected:
  RelayingStoreTest()
      : OwnStore(Loop), Transport(Loop), Policy("own:1"), PeerPolicy("peer:1"),
        Peer(Store, PeerPolicy), Relaying(OwnStore, Transport, Policy),
        RelayedGateway(Loop, Relaying) {
    Transport.add("peer:1", Peer);
    Policy.setHosts({"own:1", "peer:1"});
  }

  auto submitThroughRelayingStore(const std::string &Id) -> CallOutcome {
    std::optional<CallOutcome> Result;
    RelayedGateway.submit(job(Id), Clock::now() + Milliseconds(1000),
                          [&](CallOutcome Outcome) { Result = Outcome; });
    runUntil([&] { return Result.has_value(); });
    return Result.value();
  }

  /// The store as the relaying host sees it; Store is what the peer sees.
  FakeRowStore OwnStore;
  FakeRelayTransport Transport;
  RelayPolicy Policy;
  RelayPolicy PeerPolicy;
  RelayServer Peer;
  relay::RelayingStore Relaying;
  shard::JobGateway RelayedGateway;
};

// Guards against a host that rejects its callers because the store refuses only
// this host.
TEST_F(RelayingStoreTest, acceptsJobsThroughPeerWhileStoreRefuses) {
  OwnStore.setMode(Mode::Refusing);
  EXPECT_EQ(submitThroughRelayingStore("a"), CallOutcome::Done);
  std::size_t Stored = 0;
  for (const auto &Intake : Rows.intakePartitions())
    Stored += Store.row(Rows.jobKey(Intake, "a")) ? 1 : 0;
  EXPECT_EQ(Stored, 1U);
  EXPECT_TRUE(Relaying.available());
}

// Guards against a host that rejects its callers because the store leaves only
// this host without answers.
TEST_F(RelayingStoreTest, acceptsJobsThroughPeerWhileStoreDoesNotAnswer) {
  OwnStore.setMode(Mode::Silent);
  EXPECT_EQ(submitThroughRelayingStore("a"), CallOutcome::Done);
  // Later callers must not wait for a timeout of the store.
  const auto Start = Clock::now();
  EXPECT_EQ(submitThroughRelayingStore("b"), CallOutcome::Done);
  EXPECT_LT(Clock::now() - Start, Milliseconds(150));
}

// Guards against a host that misses changes of a table while the store refuses
// it.
TEST_F(RelayingStoreTest, receivesChangesThroughPeer) {
  OwnStore.setMode(Mode::Refusing);
  std::vector<store::Row> Received;
  store::TableFollower Follower(
      Loop, Relaying, "table", {"part"},
      {Milliseconds(100), Milliseconds(0), Milliseconds(10)},
      store::TableFollower::Observer{
          [&](std::vector<store::Row> All) { Received = std::move(All); },
          [&](std::vector<store::Row> Changed) {
            Received = std::move(Changed);
          },
          [](Milliseconds) {}});
  Follower.start();
  runFor(Milliseconds(50));
  Store.put({"table", "part", "key"}, "value");
  EXPECT_TRUE(runUntil([&] { return Received.size() == 1; }));
}

// Guards against reporting a call as not executed although a peer, whose answer
// was lost, may have executed it.
TEST_F(RelayingStoreTest, outcomeIsUnknownIfPeerGetsNoAnswerFromStore) {
  OwnStore.setMode(Mode::Refusing);
  Store.setMode(Mode::LosingAnswers);
  std::optional<CallOutcome> Result;
  RelayedGateway.submit(job("a"), Clock::now() + Milliseconds(400),
                        [&](CallOutcome Outcome) { Result = Outcome; });
  ASSERT_TRUE(runUntil([&] { return Result.has_value(); }));
  EXPECT_EQ(Result, CallOutcome::Unknown);
}

// Guards against a flood of calls between hosts while the store is down.
TEST_F(RelayingStoreTest, refusesPromptlyWhileStoreIsUnavailableToPeers) {
  OwnStore.setMode(Mode::Refusing);
  for (int Count = 0; Count < 3; ++Count)
    PeerPolicy.recordStoreCall(RelayPolicy::StoreCallOutcome::Failed,
                               Clock::now());
  const auto Start = Clock::now();
  EXPECT_EQ(submitThroughRelayingStore("a"), CallOutcome::NotExecuted);
  EXPECT_LT(Clock::now() - Start, Milliseconds(300));
  EXPECT_LT(Transport.Calls, 12);
}

TEST_F(RelayingStoreTest, callsStoreDirectlyOnceItIsAvailableAgain) {
  OwnStore.setMode(Mode::Refusing);
  EXPECT_EQ(submitThroughRelayingStore("a"), CallOutcome::Done);
  OwnStore.setMode(Mode::Serving);
  runFor(Milliseconds(450));
  // A relayed call also probes the store, which shows that it is available.
  EXPECT_EQ(submitThroughRelayingStore("b"), CallOutcome::Done);
  runFor(Milliseconds(50));
  EXPECT_TRUE(Policy.isStoreAvailable());
}

} // namespace
} // namespace jayramp::test
