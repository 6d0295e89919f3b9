#include "Membership/MembershipDecision.h"

#include "Membership/PeerObservation.h"
#include "Membership/View.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

constexpr TimePoint Now(std::chrono::hours(1));

auto member(const std::string &Name) -> Member {
  return {.Name = Name, .Incarnation = "i"};
}

class MembershipDecisionTest : public testing::Test {
protected:
  auto decide() -> MembershipDecision {
    return decideMembership({.CurrentView = CurrentView,
                             .Self = Self,
                             .Peers = Peers,
                             .Heartbeats = Heartbeats,
                             .RowsReadAt = Now,
                             .ViewRead = ViewRead,
                             .Superseded = Superseded,
                             .Settled = Settled,
                             .RemovalRequested = RemovalRequested},
                            MembershipTiming(), Now);
  }

  Member Self = member("a");
  View CurrentView =
      View::make(1, {member("a"), member("b"), member("c")}).value();
  std::vector<PeerObservation> Peers{{.Name = "b",
                                      .Incarnation = "i",
                                      .LastContactAt = Now - Milliseconds(1000),
                                      .ViewVersion = 1}};
  std::map<std::string, HeartbeatObservation> Heartbeats{
      {"b", {7, Now}}, {"c", {9, Now - Milliseconds(2500)}}};
  bool ViewRead = true;
  bool Superseded = false;
  bool Settled = true;
  bool RemovalRequested = false;
};

// Guards against a removal that lacks the heartbeat row version, without which
// the write cannot detect a heartbeat that arrives meanwhile.
TEST_F(MembershipDecisionTest, removalOfASilentMemberCarriesItsRowVersion) {
  EXPECT_EQ(decide(), MembershipDecision(RemoveSilentMembers{{{"c", 9}}}));
  Heartbeats["c"].ChangedAt += Milliseconds(1);
  EXPECT_EQ(decide(), MembershipDecision(KeepView()));
}

// Guards against the removal of a member that cannot reach the store but still
// answers its peers.
TEST_F(MembershipDecisionTest, keepsASilentMemberThatAnswersPeerHeartbeats) {
  Peers.push_back({.Name = "c",
                   .Incarnation = "i",
                   .LastContactAt = Now - Milliseconds(2000)});
  EXPECT_EQ(decide(), MembershipDecision(KeepView()));
  Peers.back().Incarnation = "older";
  EXPECT_EQ(decide(), MembershipDecision(RemoveSilentMembers{{{"c", 9}}}));
}

// Guards against a removal by a minority, or from a view that is not settled
// yet.
TEST_F(MembershipDecisionTest,
       removesMembersOnlyFromASettledViewWithAMajority) {
  Settled = false;
  EXPECT_EQ(decide(), MembershipDecision(KeepView()));
  Settled = true;
  Peers[0].LastContactAt -= Milliseconds(1);
  EXPECT_EQ(decide(), MembershipDecision(KeepView()));
}

// Guards against a host that joins while it is leaving, before it has read the
// view, or although a newer process of the same host name has joined.
TEST_F(MembershipDecisionTest,
       joinsOnlyAfterReadingTheViewAndUnlessLeavingOrSuperseded) {
  Self.Incarnation = "new";
  EXPECT_EQ(decide(), MembershipDecision(AddSelf()));
  ViewRead = false;
  EXPECT_EQ(decide(), MembershipDecision(KeepView()));
  ViewRead = true;
  Superseded = true;
  EXPECT_EQ(decide(), MembershipDecision(KeepView()));
  Superseded = false;
  RemovalRequested = true;
  EXPECT_EQ(decide(), MembershipDecision(KeepView()));
  Self.Incarnation = "i";
  EXPECT_EQ(decide(), MembershipDecision(RemoveSelf()));
}

} // namespace
} // namespace jayramp
