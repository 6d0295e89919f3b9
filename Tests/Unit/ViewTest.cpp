#include "Membership/View.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

auto member(const std::string &Name) -> Member {
  return {.Name = Name,
          .Incarnation = "i-" + Name,
          .ApiAddress = "127.0.0.1:1",
          .PeerAddress = "127.0.0.1:2",
          .AvailabilityZone = "z",
          .State = MemberState::Leaving};
}

// Guards against a field that toJson() or parse() drops.
TEST(ViewTest, jsonRoundTripKeepsEveryField) {
  View Source =
      View()
          .withMember(member("b"), /*Settled=*/true)
          .withMember(member("a"), /*Settled=*/false)
          .withoutMembers({"b"}, /*Settled=*/false, /*LeftByOwnWrite=*/true);
  auto Read = View::parse(Source.toJson());
  ASSERT_TRUE(Read) << Read.error().message();
  EXPECT_EQ(Read.value(), Source);
  EXPECT_EQ(View::parse(Source.toJson(), 9).value().version(), 9U);
}

// Guards against a damaged row that is parsed as a valid view.
TEST(ViewTest, rejectsTruncatedTextAndDuplicateNames) {
  std::string Text = View().withMember(member("a"), /*Settled=*/true).toJson();
  for (std::size_t Length = 0; Length < Text.size(); ++Length)
    EXPECT_FALSE(View::parse(Text.substr(0, Length)));
  EXPECT_FALSE(View::make(1, {member("a"), member("a")}));
}

// Guards against dropping a predecessor before a later view is settled: hosts
// may still serve under it.
TEST(ViewTest, listsThePredecessorsThatMayStillBeServed) {
  View First = View().withMember(member("a"), /*Settled=*/true);
  EXPECT_TRUE(First.predecessors().empty());
  View Second = First.withMember(member("b"), /*Settled=*/false);
  View Third = Second.withMember(member("c"), /*Settled=*/false);
  ASSERT_EQ(Third.predecessors().size(), 2U);
  EXPECT_EQ(Third.predecessors()[1].MemberNames,
            (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(
      Third.withoutMembers({"a"}, /*Settled=*/true, /*LeftByOwnWrite=*/false)
          .predecessors()
          .size(),
      1U);
}

// Guards against a host that cannot find out which role it had in a view that
// it missed, and against a row that grows with every change.
TEST(ViewTest, recordsOnlyTheMostRecentViews) {
  View Current = View().withMember(member("a"), /*Settled=*/true);
  EXPECT_TRUE(Current.recentViews().empty());
  for (int Change = 0; Change < 30; ++Change)
    Current = Change % 2 == 0
                  ? Current.withMember(member("b"), /*Settled=*/true)
                  : Current.withoutMembers({"b"}, /*Settled=*/true,
                                           /*LeftByOwnWrite=*/false);
  ASSERT_EQ(Current.recentViews().size(), View::MaxRecentViews);
  EXPECT_EQ(Current.recentViews().front().Version,
            Current.version() - View::MaxRecentViews);
  const EarlierView &Last = Current.recentViews().back();
  EXPECT_EQ(Last.Version, Current.version() - 1);
  ASSERT_EQ(Last.Members.size(), 2U);
  EXPECT_EQ(Last.Members[1].Incarnation, "i-b");
  EXPECT_EQ(Last.Members[1].State, MemberState::Leaving);
  EXPECT_EQ(View::parse(Current.toJson()).value(), Current);
}

// Guards against hosts that reject a row written by an earlier program version.
TEST(ViewTest, parsesRowsWithoutTheRecentField) {
  auto Read = View::parse(R"({"version":1,"members":[],"predecessors":[]})");
  ASSERT_TRUE(Read);
  EXPECT_TRUE(Read.value().recentViews().empty());
}

} // namespace
} // namespace jayramp
