#include "Membership/ShardMap.h"

#include "Membership/View.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace jayramp {
namespace {

auto makeView(const std::set<int> &Numbers, int Zones) -> View {
  std::vector<Member> Members;
  for (int Number : Numbers)
    Members.push_back({.Name = "h" + std::to_string(Number),
                       .AvailabilityZone = std::to_string(Number % Zones)});
  return View::make(1, std::move(Members)).value();
}

// Guards against adding or removing one member moving shards or racks between
// the other members.
RC_GTEST_PROP(ShardMapTest, changeOfOneMemberMovesNothingBetweenOthers, ()) {
  auto Numbers = *rc::gen::container<std::set<int>>(rc::gen::inRange(0, 12));
  auto Zones = *rc::gen::inRange(1, 5);
  auto Changed = *rc::gen::inRange(0, 12);
  auto Without = Numbers;
  Without.erase(Changed);
  auto With = Without;
  With.insert(Changed);
  ShardMap MapWithout(makeView(Without, Zones));
  ShardMap MapWith(makeView(With, Zones));
  std::string Name = "h" + std::to_string(Changed);
  for (std::uint32_t Shard = 0; Shard < ShardMap::ShardCount; ++Shard) {
    if (MapWith.home(Shard) != Name)
      RC_ASSERT(MapWithout.home(Shard) == MapWith.home(Shard));
    if (MapWith.home(Shard) != Name && MapWith.backup(Shard) != Name)
      RC_ASSERT(MapWithout.backup(Shard) == MapWith.backup(Shard));
    RC_ASSERT(With.size() < 2 || MapWith.backup(Shard) != MapWith.home(Shard));
    RC_ASSERT(With.size() < 2 || !MapWith.backup(Shard).empty());
  }
  for (int Rack = 0; Rack < 30; ++Rack) {
    std::string Label = "rack" + std::to_string(Rack);
    if (MapWith.rackOwner(Label) != Name)
      RC_ASSERT(MapWithout.rackOwner(Label) == MapWith.rackOwner(Label));
  }
}

// Guards against one member that owns far more or far fewer shards than the
// others, and against a backup in the same zone as the home although there is
// another zone.
TEST(ShardMapTest, assignsShardsEvenlyAndAcrossZones) {
  ShardMap Map(makeView({0, 1, 2, 3, 4, 5, 6, 7}, 4));
  std::map<std::string, int> ShardsByMember;
  for (std::uint32_t Shard = 0; Shard < ShardMap::ShardCount; ++Shard) {
    ++ShardsByMember[Map.home(Shard)];
    EXPECT_NE((Map.home(Shard)[1] - '0') % 4, (Map.backup(Shard)[1] - '0') % 4);
  }
  ASSERT_EQ(ShardsByMember.size(), 8U);
  for (const auto &[Name, Shards] : ShardsByMember) {
    EXPECT_GT(Shards, 12) << Name;
    EXPECT_LT(Shards, 60) << Name;
  }
}

} // namespace
} // namespace jayramp
