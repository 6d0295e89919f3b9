#include "Jobs/BlockFinder.h"

#include <gtest/gtest.h>

#include <set>

namespace jayramp {
namespace {

auto twoZonesOfFourWorkers() -> Topology {
  std::vector<WorkerDescription> Workers;
  for (const auto *Zone : {"z1", "z2"})
    for (const auto *Rack : {"k1", "k2"})
      for (const auto *Worker : {"a", "b"})
        Workers.push_back(
            {std::string(Zone) + Rack + Worker, "r", Zone, Rack, 4});
  return Topology::make(std::move(Workers)).value();
}

// Guards against an adjacent gang that spans more workers or racks than it
// needs.
TEST(BlockFinderTest, usesTheSmallestDomainThatCanHoldTheGang) {
  const auto Cluster = twoZonesOfFourWorkers();
  const BlockFinder::Occupancy AllFree(Cluster.acceleratorCount(),
                                       BlockFinder::Free);
  const auto Finder = BlockFinder::make(Cluster, PlacementRule::SmallestBlock);
  for (std::uint32_t Size = 1; Size <= 16; ++Size) {
    const auto Block = Finder.findBest({Size, true, {}}, AllFree);
    ASSERT_TRUE(Block.has_value());
    std::set<std::uint32_t> Workers;
    std::set<std::uint32_t> Racks;
    for (auto Index : Block->Accelerators) {
      Workers.insert(Cluster.workerOf(Index));
      Racks.insert(Cluster.rackOfWorker(Cluster.workerOf(Index)));
    }
    EXPECT_EQ(Block->Accelerators.size(), Size);
    EXPECT_LE(Workers.size(), Size <= 4 ? 1U : 4U);
    EXPECT_EQ(Racks.size(), Size <= 8 ? 1U : 2U);
  }
  // No availability zone has 17 accelerators, so a gang of 17 cannot be
  // adjacent, but it can be spread over zones.
  EXPECT_FALSE(Finder.findBest({17, true, {}}, AllFree).has_value());
  EXPECT_TRUE(Finder.findBest({17, false, {}}, AllFree).has_value());
}

// Guards against a small gang that takes accelerators of an empty worker while
// another worker is partly used.
TEST(BlockFinderTest, fillsPartlyUsedWorkersFirst) {
  const auto Cluster = twoZonesOfFourWorkers();
  BlockFinder::Occupancy CurrentOccupancy(Cluster.acceleratorCount(),
                                          BlockFinder::Free);
  CurrentOccupancy[12] = BlockFinder::Unavailable;
  const auto Block = BlockFinder::make(Cluster, PlacementRule::SmallestBlock)
                         .findBest({1, false, {}}, CurrentOccupancy);
  ASSERT_TRUE(Block.has_value());
  EXPECT_EQ(Cluster.workerOf(Block->Accelerators.front()),
            Cluster.workerOf(12));
}

// Guards against a reclaim that stops several gangs where one is enough, or an
// older gang where a younger one is enough.
TEST(BlockFinderTest, stopsTheFewestAndYoungestGangs) {
  const auto Cluster = twoZonesOfFourWorkers();
  BlockFinder::Occupancy CurrentOccupancy(Cluster.acceleratorCount(), 1);
  for (std::uint32_t Index = 0; Index < 4; ++Index)
    CurrentOccupancy[Index] = 10 + Index; // Four young gangs.
  for (std::uint32_t Index = 4; Index < 8; ++Index)
    CurrentOccupancy[Index] = 5;
  const auto Finder = BlockFinder::make(Cluster, PlacementRule::SmallestBlock);
  EXPECT_EQ(Finder.findBest({4, true, {}}, CurrentOccupancy)->Victims,
            std::vector<std::int64_t>{5});
  EXPECT_EQ(Finder.findBest({1, true, {}}, CurrentOccupancy)->Victims,
            std::vector<std::int64_t>{13});
}

// Guards against accepting an empty list, a worker without accelerators or a
// worker name that occurs twice.
TEST(BlockFinderTest, rejectsInvalidWorkerLists) {
  EXPECT_FALSE(Topology::make({}));
  EXPECT_FALSE(Topology::make({{"w", "r", "z", "k", 0}}));
  EXPECT_FALSE(
      Topology::make({{"w", "r", "z", "k", 1}, {"w", "r", "z", "k2", 1}}));
}

} // namespace
} // namespace jayramp
