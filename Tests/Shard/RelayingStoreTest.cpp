#include "ShardFixture.h"

#include "Relay/RelayCodec.h"
#include "Relay/RelayServer.h"
#include "Relay/RelayingStore.h"

namespace jayramp::test {
namespace {

using Mode = FakeRowStore::Mode;
using relay::RelayPolicy;
using relay::RelayServer;
using shard::CallOutcome;

/// Peers in the same process; each has its own way to the store.
class FakeRelayTransport final : public relay::RelayTransport {
public:
  explicit FakeRelayTransport(net::EventLoop &Loop) : Loop(Loop) {}

  auto add(const std::string &Address, RelayServer &Server) -> void {
    Servers.emplace(Address, &Server);
  }
  auto call(const std::string &Address, const relay::RelayCall &Call,
            Callback Done) -> void override {
    ++Calls;
    const auto Found = Servers.find(Address);
    if (Found == Servers.end()) {
      Loop.post([Done] { Done(std::nullopt); });
      return;
    }
    Found->second->handle({"POST", "/relay", {}, relay::encodeRelayCall(Call)},
                          [this, Done](const net::HttpResponse &Answer) {
                            auto Reply =
                                relay::decodeRelayReply(Answer.Body).value();
                            Loop.post([Done, Reply] { Done(Reply); });
                          });
  }

  int Calls = 0;

private:
  net::EventLoop &Loop;
  std::map<std::string, RelayServer *> Servers;
};

/// A host whose way to the store may be cut, beside a peer that is served.
class RelayingStoreTest : public ShardFixture {
protected:
  RelayingStoreTest()
      : Own(Loop), Port(Loop), Policy("own:1"), PeerPolicy("peer:1"),
        Peer(Store, PeerPolicy), Relaying(Own, Port, Policy),
        RelayedDoor(Loop, Relaying) {
    Port.add("peer:1", Peer);
    Policy.setHosts({"own:1", "peer:1"});
  }

  auto submitRelayed(const std::string &Id) -> CallOutcome {
    std::optional<CallOutcome> Told;
    RelayedDoor.submit(job(Id), Clock::now() + Milliseconds(1000),
                       [&](CallOutcome Outcome) { Told = Outcome; });
    runUntil([&] { return Told.has_value(); });
    return Told.value();
  }

  FakeRowStore Own; ///< The store as the host that is cut off sees it.
  FakeRelayTransport Port;
  RelayPolicy Policy;
  RelayPolicy PeerPolicy;
  RelayServer Peer;
  relay::RelayingStore Relaying;
  shard::JobGateway RelayedDoor;
};

// Guards against callers that are refused by a host that the store turns away
// while it serves others.
TEST_F(RelayingStoreTest, acceptsJobsThroughAPeer) {
  Own.setMode(Mode::Refusing);
  EXPECT_EQ(submitRelayed("a"), CallOutcome::Done);
  std::size_t Stored = 0;
  for (const auto &Intake : Rows.intakePartitions())
    Stored += Store.row(Rows.jobKey(Intake, "a")) ? 1 : 0;
  EXPECT_EQ(Stored, 1U);
  EXPECT_TRUE(Relaying.available());
}

TEST_F(RelayingStoreTest, acceptsJobsThroughAPeerWhileTheStoreIsSilent) {
  Own.setMode(Mode::Silent);
  EXPECT_EQ(submitRelayed("a"), CallOutcome::Done);
  // Later callers do not wait for timeouts.
  const auto Start = Clock::now();
  EXPECT_EQ(submitRelayed("b"), CallOutcome::Done);
  EXPECT_LT(Clock::now() - Start, Milliseconds(150));
}

// Guards against a host that stays blind: changes come through the peer too.
TEST_F(RelayingStoreTest, hearsOfChangesThroughAPeer) {
  Own.setMode(Mode::Refusing);
  std::vector<store::Row> Heard;
  store::TableFollower Follower(
      Loop, Relaying, "table", {"part"},
      {Milliseconds(100), Milliseconds(0), Milliseconds(10)},
      store::TableFollower::Observer{
          [&](std::vector<store::Row> All) { Heard = std::move(All); },
          [&](std::vector<store::Row> Changed) { Heard = std::move(Changed); },
          [] {}});
  Follower.start();
  runFor(Milliseconds(50));
  Store.put({"table", "part", "key"}, "value");
  EXPECT_TRUE(runUntil([&] { return Heard.size() == 1; }));
}

// Guards against a false refusal: what a peer may have done is not refused.
TEST_F(RelayingStoreTest, doesNotCallACallWithoutAnAnswerRefused) {
  Own.setMode(Mode::Refusing);
  Store.setMode(Mode::LosingAnswers);
  std::optional<CallOutcome> Told;
  RelayedDoor.submit(job("a"), Clock::now() + Milliseconds(400),
                     [&](CallOutcome Outcome) { Told = Outcome; });
  ASSERT_TRUE(runUntil([&] { return Told.has_value(); }));
  EXPECT_EQ(Told, CallOutcome::Unknown);
}

// Guards against a flood of calls between hosts while the store is down.
TEST_F(RelayingStoreTest, refusesAtOnceWhileNoPeerIsServed) {
  Own.setMode(Mode::Refusing);
  for (int Count = 0; Count < 3; ++Count)
    PeerPolicy.recordStoreCall(RelayPolicy::StoreCallOutcome::Failed,
                               Clock::now());
  const auto Start = Clock::now();
  EXPECT_EQ(submitRelayed("a"), CallOutcome::NotExecuted);
  EXPECT_LT(Clock::now() - Start, Milliseconds(300));
  EXPECT_LT(Port.Calls, 12);
}

TEST_F(RelayingStoreTest, usesTheStoreAgainOnceItIsServed) {
  Own.setMode(Mode::Refusing);
  EXPECT_EQ(submitRelayed("a"), CallOutcome::Done);
  Own.setMode(Mode::Serving);
  runFor(Milliseconds(450));
  // A call through the peer finds out.
  EXPECT_EQ(submitRelayed("b"), CallOutcome::Done);
  runFor(Milliseconds(50));
  EXPECT_TRUE(Policy.isStoreAvailable());
}

} // namespace
} // namespace jayramp::test
