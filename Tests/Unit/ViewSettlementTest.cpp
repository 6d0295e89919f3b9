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

auto three() -> View {
  return View::make(1, {member("a"), member("b"), member("c")}).value();
}

auto seen(const std::string &Name, std::uint64_t Version) -> PeerObservation {
  return {.Name = Name,
          .Incarnation = "i",
          .LastContactAt = Start,
          .ViewVersion = Version};
}

class ViewSettlementTest : public testing::Test {
protected:
  auto settlement(const View &Current) -> ViewSettlement {
    return {std::make_shared<const View>(Current), member("a"), Start,
            Start - Milliseconds(60000)};
  }

  MembershipTiming Timing;
};

// Guards against a removed host that still serves on a confirmation which a
// remaining member passed on shortly before.
TEST_F(ViewSettlementTest, waitsForConfirmationsPassedToRemovedHosts) {
  auto Settlement = settlement(three().withoutMembers({"c"}, true, false));
  std::vector<PeerObservation> Peers{seen("b", 2)};
  Peers[0].LastRemovedHostContactAt = Start - Milliseconds(500);
  Settlement.update(Peers, Timing, Start);
  EXPECT_FALSE(Settlement.settled(Peers, Timing, Start + Milliseconds(1500)));
  EXPECT_TRUE(Settlement.settled(Peers, Timing, Start + Milliseconds(1501)));
}

// Guards against serving while a member may not have heard of the new view.
TEST_F(ViewSettlementTest, waitsForEveryMemberOrForTheWindows) {
  auto Settlement = settlement(three().withMember(member("d"), true));
  std::vector<PeerObservation> Peers{seen("b", 2), seen("c", 1)};
  Settlement.update(Peers, Timing, Start);
  EXPECT_FALSE(Settlement.settled(Peers, Timing, Start + Milliseconds(2000)));
  // A majority of the earlier view has adopted this one.
  EXPECT_TRUE(Settlement.settled(Peers, Timing, Start + Milliseconds(2001)));
  Peers[1].ViewVersion = 2;
  EXPECT_TRUE(Settlement.settled(Peers, Timing, Start));
}

// Guards against a minority that declares an earlier view ended: its majority
// may go on without any confirmation.
TEST_F(ViewSettlementTest, aMinorityNeverSettles) {
  auto Settlement = settlement(three().withMember(member("d"), true));
  std::vector<PeerObservation> Peers{seen("b", 1), seen("c", 1), seen("d", 2)};
  Settlement.update(Peers, Timing, Start);
  EXPECT_FALSE(
      Settlement.settled(Peers, Timing, Start + std::chrono::hours(1)));
}

// Guards against a host outside the view that believes it settled.
TEST_F(ViewSettlementTest, aHostOutsideNeverSettles) {
  ViewSettlement Settlement(
      std::make_shared<const View>(three().withoutMembers({"a"}, true, true)),
      member("a"), Start, Start);
  EXPECT_FALSE(Settlement.settled({seen("b", 2), seen("c", 2)}, Timing,
                                  Start + std::chrono::hours(1)));
}

} // namespace
} // namespace jayramp
