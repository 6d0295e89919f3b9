#include "ClosedZoneRows.h"
#include "FakeRelayTransport.h"
#include "HostSettings.h"
#include "ShardFixture.h"

#include "Relay/RelayingStore.h"
#include "Store/TableFollower.h"

namespace jayramp::test {
namespace {

using Mode = FakeRowStore::Mode;

/// A host that follows the requests of operators. The store may refuse this
/// host, which reaches it through a peer then.
class ClosedZoneRowsTest : public ShardFixture {
protected:
  ClosedZoneRowsTest()
      : OwnStore(Loop), Transport(Loop), Policy("own:1"), PeerPolicy("peer:1"),
        Peer(Store, PeerPolicy), Relaying(OwnStore, Transport, Policy) {
    Transport.add("peer:1", Peer);
    Policy.setHosts({"own:1", "peer:1"});
  }

  auto follow(store::RowStore &From) -> void {
    using Changed = std::vector<store::Row>;
    Follower = std::make_unique<store::TableFollower>(
        Loop, From, "op", std::vector<std::string>{""},
        store::FollowerTiming{Milliseconds(30), Milliseconds(0),
                              Milliseconds(5)},
        store::TableFollower::Observer{
            [this](const Changed &All) { Requests.applySnapshot(All); },
            [this](const Changed &Rows) { Requests.applyChanges(Rows); },
            [this](Milliseconds AsOf) { Requests.confirm(AsOf); }});
    Follower->start();
  }
  auto request(const std::string &Key) -> void {
    Store.put({"op", "", Key}, "{}");
  }
  auto takeBack(const std::string &Key) -> void {
    Store.transact({{}, {}, {{"op", "", Key}}}, Milliseconds(100),
                   [](const auto &) {});
  }
  auto zonesBecome(const std::set<std::string> &Zones) -> bool {
    return runUntil([&] { return Requests.closedZones().Zones == Zones; });
  }
  auto age() const -> Milliseconds {
    return suspendAwareNow() - Requests.closedZones().CompleteAsOf;
  }

  FakeRowStore OwnStore;
  FakeRelayTransport Transport;
  relay::RelayPolicy Policy;
  relay::RelayPolicy PeerPolicy;
  relay::RelayServer Peer;
  relay::RelayingStore Relaying;
  platform::ClosedZoneRows Requests;
  std::unique_ptr<store::TableFollower> Follower;
};

// Guards against missing a request, and against reading another row as one.
TEST_F(ClosedZoneRowsTest, followsSeveralZonesAndIgnoresOtherRows) {
  request("evacuate/a");
  request("config");
  request("evacuate/");
  Store.put({"op", "part", "evacuate/x"}, "{}");
  follow(Store);
  EXPECT_TRUE(zonesBecome({"a"}));
  request("evacuate/b");
  EXPECT_TRUE(zonesBecome({"a", "b"}));
  takeBack("evacuate/a");
  request("evacuate/a");
  takeBack("evacuate/a");
  EXPECT_TRUE(zonesBecome({"b"}));
}

// Guards against a zone that stays closed for ever: it was opened in a part of
// the history that the store has dropped.
TEST_F(ClosedZoneRowsTest, requestThatIsMissingInASnapshotWasTakenBack) {
  request("evacuate/a");
  follow(Store);
  ASSERT_TRUE(zonesBecome({"a"}));
  takeBack("evacuate/a");
  request("evacuate/b");
  Store.dropHistory();
  EXPECT_TRUE(zonesBecome({"b"}));
}

// Guards against taking a refusal or silence for knowledge: the store may serve
// the operator meanwhile.
TEST_F(ClosedZoneRowsTest, setAgesWhileTheStoreRefusesOrIsSilent) {
  follow(Store);
  ASSERT_TRUE(runUntil([&] { return age() < Milliseconds(30); }));
  for (const auto Next : {Mode::Refusing, Mode::Silent}) {
    Store.setMode(Next);
    runFor(Milliseconds(150));
    EXPECT_GE(age(), Milliseconds(100));
    Store.setMode(Mode::Serving);
    EXPECT_TRUE(runUntil([&] { return age() < Milliseconds(50); }));
  }
}

// Guards against a host that the store turns away and that misses a request
// although a peer is served.
TEST_F(ClosedZoneRowsTest, learnsThroughAPeerWhileTheStoreRefuses) {
  OwnStore.setMode(Mode::Refusing);
  follow(Relaying);
  request("evacuate/a");
  EXPECT_TRUE(zonesBecome({"a"}));
  runFor(Milliseconds(100));
  EXPECT_LT(age(), Milliseconds(80));
  // The peer loses the store, too.
  Store.setMode(Mode::Refusing);
  runFor(Milliseconds(150));
  EXPECT_GE(age(), Milliseconds(100));
}

// Guards against starts after the notice, and against an owner that can't start
// anything because the notice is short; without the setting there is no limit.
TEST_F(ClosedZoneRowsTest, ageLimitLeavesTimeForTheLongestOrder) {
  platform::HostSettings Host;
  EXPECT_EQ(Host.maxClosedZonesAge(Milliseconds(1200)), std::nullopt);
  Host.ZoneClosureNoticeMs = 5000;
  EXPECT_EQ(Host.maxClosedZonesAge(Milliseconds(1200)), Milliseconds(3800));
  Host.ZoneClosureNoticeMs = 1000;
  EXPECT_EQ(Host.maxClosedZonesAge(Milliseconds(1200)), Milliseconds(500));
}

} // namespace
} // namespace jayramp::test
