#include "Shard/ShardHandover.h"

#include <gtest/gtest.h>

namespace jayramp::test {
namespace {

using shard::ShardHandover;

class ShardHandoverTest : public testing::Test {
protected:
  auto ownedBy(double CpuShare) -> std::unique_ptr<ShardHandover> {
    return std::make_unique<ShardHandover>(
        CpuShare, ShardHandover::Actions{
                      [this] { return Peers; },
                      [this](const ShardHandover::Peer &Peer, auto Done) {
                        Offers.push_back(Peer.Address);
                        Answer = std::move(Done);
                      },
                      [this] { ++Releases; }});
  }

  /// Updates \p Handover every 200 ms for \p Duration.
  auto pass(ShardHandover &Handover, Milliseconds Duration, bool IsCalm = true)
      -> void {
    for (const auto End = Now + Duration; Now < End; Now += Milliseconds(200))
      Handover.update(IsCalm, Now);
  }

  std::vector<ShardHandover::Peer> Peers{
      {"strong:1", 0.5}, {"strong:2", 0.5}, {"weak:3", 0.12}};
  std::vector<std::string> Offers;
  std::function<void(bool)> Answer;
  int Releases = 0;
  TimePoint Now = TimePoint(std::chrono::hours(1));
};

// Guards against a shard that stays with a weak host after a strong one is
// back.
TEST_F(ShardHandoverTest, weakOwnerReleasesTheShardOnceAStrongHostAccepts) {
  const auto Handover = ownedBy(0.09);
  pass(*Handover, Milliseconds(6000));
  ASSERT_EQ(Offers, std::vector<std::string>{"strong:1"});
  EXPECT_EQ(Releases, 0);
  Answer(true);
  EXPECT_EQ(Releases, 1);
}

// Guards against a release that leaves the shard without an owner: the hosts
// that are listed may be down.
TEST_F(ShardHandoverTest, asksTheNextHostAfterARefusalAndReleasesNothing) {
  const auto Handover = ownedBy(0.09);
  pass(*Handover, Milliseconds(6000));
  Answer(false);
  pass(*Handover, Milliseconds(1200));
  EXPECT_EQ(Offers, (std::vector<std::string>{"strong:1", "strong:2"}));
  EXPECT_EQ(Releases, 0);
}

// Guards against an interruption that gains little.
TEST_F(ShardHandoverTest, ownersThatAreStrongEnoughOfferNothing) {
  const auto Sufficient = ownedBy(0.25);
  pass(*Sufficient, Milliseconds(20000));
  Peers = {{"other", 0.12}};
  const auto Weak = ownedBy(0.09);
  pass(*Weak, Milliseconds(20000));
  EXPECT_TRUE(Offers.empty());
}

// Guards against a handover in the middle of a disruption.
TEST_F(ShardHandoverTest, nothingIsReleasedOutsideOfCalm) {
  const auto Handover = ownedBy(0.09);
  for (int Round = 0; Round < 5; ++Round) {
    pass(*Handover, Milliseconds(4000));
    pass(*Handover, Milliseconds(200), false);
  }
  EXPECT_TRUE(Offers.empty());
  pass(*Handover, Milliseconds(6000));
  ASSERT_EQ(Offers.size(), 1U);
  pass(*Handover, Milliseconds(200), false);
  Answer(true);
  EXPECT_EQ(Releases, 0);
}

} // namespace
} // namespace jayramp::test
