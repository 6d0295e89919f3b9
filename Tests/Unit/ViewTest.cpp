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

// Guards against a field that is lost on the way through the table row.
TEST(ViewTest, keepsEveryFieldThroughTheRow) {
  View Source = View()
                    .withMember(member("b"), true)
                    .withMember(member("a"), false)
                    .withoutMembers({"b"}, false, true);
  auto Read = View::parse(Source.toJson());
  ASSERT_TRUE(Read) << Read.error().message();
  EXPECT_EQ(Read.value(), Source);
  EXPECT_EQ(View::parse(Source.toJson(), 9).value().version(), 9U);
}

// Guards against a damaged row that is read as an empty view.
TEST(ViewTest, refusesDamagedText) {
  std::string Text = View().withMember(member("a"), true).toJson();
  for (std::size_t Length = 0; Length < Text.size(); ++Length)
    EXPECT_FALSE(View::parse(Text.substr(0, Length)));
  EXPECT_FALSE(View::make(1, {member("a"), member("a")}));
}

// Guards against an earlier view that is forgotten before it has settled.
TEST(ViewTest, namesThePredecessorsThatMayStillBeServed) {
  View First = View().withMember(member("a"), true);
  EXPECT_TRUE(First.predecessors().empty());
  View Second = First.withMember(member("b"), false);
  View Third = Second.withMember(member("c"), false);
  ASSERT_EQ(Third.predecessors().size(), 2U);
  EXPECT_EQ(Third.predecessors()[1].Names,
            (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(Third.withoutMembers({"a"}, true, false).predecessors().size(), 1U);
}

// Guards against a host that cannot learn its role in a view that it skipped,
// and against a row that grows with every change.
TEST(ViewTest, recordsTheLastViewsOnly) {
  View Current = View().withMember(member("a"), true);
  EXPECT_TRUE(Current.recentViews().empty());
  for (int Change = 0; Change < 30; ++Change)
    Current = Change % 2 == 0 ? Current.withMember(member("b"), true)
                              : Current.withoutMembers({"b"}, true, false);
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

// Guards against hosts that refuse the row of an earlier program version.
TEST(ViewTest, readsRowsWithoutEarlierViews) {
  auto Read = View::parse(R"({"version":1,"members":[],"predecessors":[]})");
  ASSERT_TRUE(Read);
  EXPECT_TRUE(Read.value().recentViews().empty());
}

} // namespace
} // namespace jayramp
