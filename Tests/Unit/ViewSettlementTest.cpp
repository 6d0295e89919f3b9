#include "Membership/ViewSettlement.h"

#include "Membership/PeerObservation.h"
#include "Membership/View.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

constexpr TimePoint Start(std::chrono::hours(1));

auto member(const std::string &Name) -> Member {
  return {.Name = Name, .Incarnation = "i"};
}

auto threeMemberView() -> View {
  return View::make(1, {member("a"), member("b"), member("c")}).value();
}

auto observation(const std::string &Name, std::uint64_t Version)
    -> PeerObservation {
  return {.Name = Name,
          .Incarnation = "i",
          .LastContactAt = Start,
          .ViewVersion = Version};
}

class ViewSettlementTest : public testing::Test {
protected:
  auto makeSettlement(const View &Current) -> ViewSettlement {
    return {std::make_shared<const View>(Current), member("a"), Start,
            Start - Milliseconds(60000)};
  }

  MembershipTiming Timing;
};

// Guards against settling while a removed host may still serve on a
// confirmation that a remaining member passed to it shortly before its removal.
TEST_F(ViewSettlementTest, waitsUntilConfirmationsPassedToRemovedHostsExpire) {
  auto Settlement = makeSettlement(threeMemberView().withoutMembers(
      {"c"}, /*Settled=*/true, /*LeftByOwnWrite=*/false));
  std::vector<PeerObservation> Peers{observation("b", 2)};
  Peers[0].LastRemovedHostContactAt = Start - Milliseconds(500);
  Settlement.update(Peers, Timing, Start);
  EXPECT_FALSE(Settlement.isSettled(Peers, Timing, Start + Milliseconds(1500)));
  EXPECT_TRUE(Settlement.isSettled(Peers, Timing, Start + Milliseconds(1501)));
}

// Guards against settling while a member that has not adopted the new view may
// still serve under the earlier one.
TEST_F(ViewSettlementTest, waitsForEveryMemberOrForTheWindows) {
  auto Settlement = makeSettlement(
      threeMemberView().withMember(member("d"), /*Settled=*/true));
  std::vector<PeerObservation> Peers{observation("b", 2), observation("c", 1)};
  Settlement.update(Peers, Timing, Start);
  EXPECT_FALSE(Settlement.isSettled(Peers, Timing, Start + Milliseconds(2000)));
  // A majority of the earlier view has adopted this one.
  EXPECT_TRUE(Settlement.isSettled(Peers, Timing, Start + Milliseconds(2001)));
  Peers[1].ViewVersion = 2;
  EXPECT_TRUE(Settlement.isSettled(Peers, Timing, Start));
}

// Guards against settling when only a minority of the earlier view has adopted
// the new one: the majority may keep serving under the earlier view in a store
// outage, without any confirmation.
TEST_F(ViewSettlementTest, viewIsNotSettledWhenOnlyAMinorityAdoptedIt) {
  auto Settlement = makeSettlement(
      threeMemberView().withMember(member("d"), /*Settled=*/true));
  std::vector<PeerObservation> Peers{observation("b", 1), observation("c", 1),
                                     observation("d", 2)};
  Settlement.update(Peers, Timing, Start);
  EXPECT_FALSE(
      Settlement.isSettled(Peers, Timing, Start + std::chrono::hours(1)));
}

// Guards against a host that considers a view settled of which it is no member.
TEST_F(ViewSettlementTest, viewIsNeverSettledForAHostOutsideIt) {
  ViewSettlement Settlement(
      std::make_shared<const View>(threeMemberView().withoutMembers(
          {"a"}, /*Settled=*/true, /*LeftByOwnWrite=*/true)),
      member("a"), Start, Start);
  EXPECT_FALSE(Settlement.isSettled({observation("b", 2), observation("c", 2)},
                                    Timing, Start + std::chrono::hours(1)));
}

} // namespace
} // namespace jayramp
