#include "Relay/RelayPolicy.h"

#include <gtest/gtest.h>

#include <set>

namespace jayramp::relay {
namespace {

using StoreCallOutcome = RelayPolicy::StoreCallOutcome;
using PeerCallOutcome = RelayPolicy::PeerCallOutcome;

const TimePoint Start = TimePoint(std::chrono::hours(1));

auto at(std::int64_t Ms) -> TimePoint { return Start + Milliseconds(Ms); }

auto makePolicy(const std::string &Self) -> RelayPolicy {
  RelayPolicy Policy(Self);
  Policy.setHosts({"a:1", "b:1", "c:1", "d:1"});
  return Policy;
}

auto recordStoreCalls(RelayPolicy &Policy, int Times, StoreCallOutcome Outcome,
                      TimePoint Now) -> void {
  for (int Count = 0; Count < Times; ++Count)
    Policy.recordStoreCall(Outcome, Now);
}

TEST(RelayPolicyTest, selectsPeerAfterConsecutiveStoreFailures) {
  auto Policy = makePolicy("a:1");
  recordStoreCalls(Policy, 2, StoreCallOutcome::Failed, at(0));
  Policy.recordStoreCall(StoreCallOutcome::Succeeded, at(0));
  recordStoreCalls(Policy, 2, StoreCallOutcome::Failed, at(0));
  EXPECT_TRUE(Policy.isStoreAvailable());
  recordStoreCalls(Policy, 1, StoreCallOutcome::Failed, at(0));
  EXPECT_FALSE(Policy.isStoreAvailable());
  ASSERT_TRUE(Policy.selectPeer(at(0)));
  EXPECT_NE(*Policy.selectPeer(at(0)), "a:1");
  Policy.recordStoreCall(StoreCallOutcome::Succeeded, at(0));
  EXPECT_TRUE(Policy.isStoreAvailable());
}

// Guards against relayed calls that add load to a store which is slow for all
// hosts.
TEST(RelayPolicyTest, slowStoreDoesNotCountAsUnavailable) {
  auto Policy = makePolicy("a:1");
  Policy.recordStoreCall(StoreCallOutcome::Succeeded, at(0));
  recordStoreCalls(Policy, 9, StoreCallOutcome::TimedOut, at(600));
  EXPECT_TRUE(Policy.isStoreAvailable());
  Policy.recordStoreCall(StoreCallOutcome::TimedOut, at(1200),
                         Milliseconds(400));
  EXPECT_TRUE(Policy.isStoreAvailable());
  Policy.recordStoreCall(StoreCallOutcome::TimedOut, at(1200),
                         Milliseconds(10));
  EXPECT_FALSE(Policy.isStoreAvailable());
}

TEST(RelayPolicyTest, keepsUsingPeerWhoseCallsSucceed) {
  auto Policy = makePolicy("a:1");
  Policy.recordPeerCall("c:1", PeerCallOutcome::Succeeded, at(0));
  EXPECT_EQ(Policy.selectPeer(at(10)), "c:1");
  Policy.recordPeerCall("c:1", PeerCallOutcome::NoAnswer, at(20));
  EXPECT_NE(Policy.selectPeer(at(30)), "c:1");
}

// Guards against doubled load from relayed calls while the store is down for
// all hosts.
TEST(RelayPolicyTest, usesNoPeerForAWhileAfterStoreIsUnavailableToPeers) {
  auto Policy = makePolicy("a:1");
  const auto First = Policy.selectPeer(at(0)).value();
  Policy.recordPeerCall(First, PeerCallOutcome::StoreUnavailable, at(0));
  const auto Second = Policy.selectPeer(at(0)).value();
  EXPECT_NE(First, Second);
  Policy.recordPeerCall(Second, PeerCallOutcome::StoreUnavailable, at(0));
  EXPECT_FALSE(Policy.selectPeer(at(100)));
  EXPECT_TRUE(Policy.selectPeer(at(600)));
}

// Guards against a timeout for each call because hosts that were removed are
// tried again and again.
TEST(RelayPolicyTest, backsOffLongerFromPeerThatDoesNotAnswer) {
  RelayPolicy Policy("a:1");
  Policy.setHosts({"a:1", "b:1"});
  Policy.recordPeerCall("b:1", PeerCallOutcome::NoAnswer, at(0));
  EXPECT_FALSE(Policy.selectPeer(at(1500)));
  EXPECT_TRUE(Policy.selectPeer(at(6000)));
}

TEST(RelayPolicyTest, probesUnavailableStoreAtIntervals) {
  auto Policy = makePolicy("a:1");
  EXPECT_FALSE(Policy.startProbeIfDue(at(0)));
  recordStoreCalls(Policy, 3, StoreCallOutcome::Failed, at(0));
  EXPECT_TRUE(Policy.startProbeIfDue(at(0)));
  EXPECT_FALSE(Policy.startProbeIfDue(at(100)));
  EXPECT_TRUE(Policy.startProbeIfDue(at(500)));
}

// Guards against overload of a single peer by all hosts that lose the store at
// the same time.
TEST(RelayPolicyTest, hostsSelectDifferentPeers) {
  std::vector<std::string> Hosts;
  for (int Number = 0; Number < 30; ++Number)
    Hosts.push_back("host" + std::to_string(Number) + ":1");
  std::set<std::string> SelectedPeers;
  for (const auto &Self : Hosts) {
    RelayPolicy Policy(Self);
    Policy.setHosts(Hosts);
    SelectedPeers.insert(Policy.selectPeer(at(0)).value());
  }
  EXPECT_GT(SelectedPeers.size(), 10U);
}

} // namespace
} // namespace jayramp::relay
