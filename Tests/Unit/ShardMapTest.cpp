#include "Membership/ShardMap.h"

#include "Membership/View.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace jayramp {
namespace {

auto viewOf(const std::set<int> &Numbers, int Zones) -> View {
  std::vector<Member> Members;
  for (int Number : Numbers)
    Members.push_back({.Name = "h" + std::to_string(Number),
                       .AvailabilityZone = std::to_string(Number % Zones)});
  return View::make(1, std::move(Members)).value();
}

// Guards against a change of one member that moves shards or racks between
// other members.
RC_GTEST_PROP(ShardMapTest, onlyTheChangedMemberMoves, ()) {
  auto Numbers = *rc::gen::container<std::set<int>>(rc::gen::inRange(0, 12));
  auto Zones = *rc::gen::inRange(1, 5);
  auto Changed = *rc::gen::inRange(0, 12);
  auto Without = Numbers;
  Without.erase(Changed);
  auto With = Without;
  With.insert(Changed);
  ShardMap Small(viewOf(Without, Zones));
  ShardMap Large(viewOf(With, Zones));
  std::string Name = "h" + std::to_string(Changed);
  for (std::uint32_t Shard = 0; Shard < ShardMap::ShardCount; ++Shard) {
    if (Large.home(Shard) != Name)
      RC_ASSERT(Small.home(Shard) == Large.home(Shard));
    if (Large.home(Shard) != Name && Large.backup(Shard) != Name)
      RC_ASSERT(Small.backup(Shard) == Large.backup(Shard));
    RC_ASSERT(With.size() < 2 || Large.backup(Shard) != Large.home(Shard));
    RC_ASSERT(With.size() < 2 || !Large.backup(Shard).empty());
  }
  for (int Rack = 0; Rack < 30; ++Rack) {
    std::string Label = "rack" + std::to_string(Rack);
    if (Large.rackOwner(Label) != Name)
      RC_ASSERT(Small.rackOwner(Label) == Large.rackOwner(Label));
  }
}

// Guards against one member that holds far more than its part, and against a
// backup in the zone of its home although there is another zone.
TEST(ShardMapTest, dividesEvenlyAndAcrossZones) {
  ShardMap Map(viewOf({0, 1, 2, 3, 4, 5, 6, 7}, 4));
  std::map<std::string, int> Count;
  for (std::uint32_t Shard = 0; Shard < ShardMap::ShardCount; ++Shard) {
    ++Count[Map.home(Shard)];
    EXPECT_NE((Map.home(Shard)[1] - '0') % 4, (Map.backup(Shard)[1] - '0') % 4);
  }
  ASSERT_EQ(Count.size(), 8U);
  for (const auto &[Name, Shards] : Count) {
    EXPECT_GT(Shards, 12) << Name;
    EXPECT_LT(Shards, 60) << Name;
  }
}

} // namespace
} // namespace jayramp
