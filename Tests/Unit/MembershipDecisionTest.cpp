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
    return decideMembership({.Current = Current,
                             .Self = Self,
                             .Peers = Peers,
                             .Heartbeats = Heartbeats,
                             .ReadAt = Now,
                             .ViewRead = ViewRead,
                             .Superseded = Superseded,
                             .Settled = Settled,
                             .WantsRemoval = WantsRemoval},
                            MembershipTiming(), Now);
  }

  Member Self = member("a");
  View Current = View::make(1, {member("a"), member("b"), member("c")}).value();
  std::vector<PeerObservation> Peers{{.Name = "b",
                                      .Incarnation = "i",
                                      .LastContactAt = Now - Milliseconds(1000),
                                      .ViewVersion = 1}};
  std::map<std::string, HeartbeatObservation> Heartbeats{
      {"b", {7, Now}}, {"c", {9, Now - Milliseconds(2500)}}};
  bool ViewRead = true;
  bool Superseded = false;
  bool Settled = true;
  bool WantsRemoval = false;
};

// Guards against a removal without the row version that the write must check.
TEST_F(MembershipDecisionTest, removesASilentMemberWithItsRowVersion) {
  EXPECT_EQ(decide(), MembershipDecision(RemoveSilentMembers{{{"c", 9}}}));
  Heartbeats["c"].ChangedAt += Milliseconds(1);
  EXPECT_EQ(decide(), MembershipDecision(KeepView()));
}

// Guards against the removal of a member that is cut off from the store alone.
TEST_F(MembershipDecisionTest, keepsASilentMemberThatAnswers) {
  Peers.push_back({.Name = "c",
                   .Incarnation = "i",
                   .LastContactAt = Now - Milliseconds(2000)});
  EXPECT_EQ(decide(), MembershipDecision(KeepView()));
  Peers.back().Incarnation = "older";
  EXPECT_EQ(decide(), MembershipDecision(RemoveSilentMembers{{{"c", 9}}}));
}

// Guards against a removal by a minority, or from a view that has not settled.
TEST_F(MembershipDecisionTest, removesOnlyFromASettledViewWithAMajority) {
  Settled = false;
  EXPECT_EQ(decide(), MembershipDecision(KeepView()));
  Settled = true;
  Peers[0].LastContactAt -= Milliseconds(1);
  EXPECT_EQ(decide(), MembershipDecision(KeepView()));
}

// Guards against a host that joins while it leaves, before it has read the
// view, or beside a newer process of its name.
TEST_F(MembershipDecisionTest, joinsOnlyWhenItMay) {
  Self.Incarnation = "new";
  EXPECT_EQ(decide(), MembershipDecision(AddSelf()));
  ViewRead = false;
  EXPECT_EQ(decide(), MembershipDecision(KeepView()));
  ViewRead = true;
  Superseded = true;
  EXPECT_EQ(decide(), MembershipDecision(KeepView()));
  Superseded = false;
  WantsRemoval = true;
  EXPECT_EQ(decide(), MembershipDecision(KeepView()));
  Self.Incarnation = "i";
  EXPECT_EQ(decide(), MembershipDecision(RemoveSelf()));
}

} // namespace
} // namespace jayramp
