#include "Jobs/BlockFinder.h"

#include <gtest/gtest.h>

#include <set>

namespace jayramp {
namespace {

auto cluster() -> Topology {
  std::vector<WorkerDescription> Workers;
  for (const auto *Zone : {"z1", "z2"})
    for (const auto *Rack : {"k1", "k2"})
      for (const auto *Worker : {"a", "b"})
        Workers.push_back(
            {std::string(Zone) + Rack + Worker, "r", Zone, Rack, 4});
  return Topology::make(std::move(Workers)).value();
}

// Guards against an adjacent gang that spans more than it needs.
TEST(BlockFinderTest, usesTheSmallestScopeThatCanHoldTheGang) {
  const auto Installed = cluster();
  const BlockFinder::Occupancy Free(Installed.acceleratorCount(),
                                    BlockFinder::Free);
  const auto Finder =
      BlockFinder::make(Installed, PlacementRule::SmallestBlock);
  for (std::uint32_t Size = 1; Size <= 16; ++Size) {
    const auto Block = Finder.findBest({Size, true, {}}, Free);
    ASSERT_TRUE(Block.has_value());
    std::set<std::uint32_t> Workers;
    std::set<std::uint32_t> Racks;
    for (auto Index : Block->Accelerators) {
      Workers.insert(Installed.workerOf(Index));
      Racks.insert(Installed.rackOfWorker(Installed.workerOf(Index)));
    }
    EXPECT_EQ(Block->Accelerators.size(), Size);
    EXPECT_LE(Workers.size(), Size <= 4 ? 1U : 4U);
    EXPECT_EQ(Racks.size(), Size <= 8 ? 1U : 2U);
  }
  // No zone has 17, so they cannot be adjacent, but they can be spread.
  EXPECT_FALSE(Finder.findBest({17, true, {}}, Free).has_value());
  EXPECT_TRUE(Finder.findBest({17, false, {}}, Free).has_value());
}

// Guards against a small gang that breaks up an empty worker.
TEST(BlockFinderTest, fillsWorkersInUseFirst) {
  const auto Installed = cluster();
  BlockFinder::Occupancy Current(Installed.acceleratorCount(),
                                 BlockFinder::Free);
  Current[12] = BlockFinder::Unavailable;
  const auto Block = BlockFinder::make(Installed, PlacementRule::SmallestBlock)
                         .findBest({1, false, {}}, Current);
  ASSERT_TRUE(Block.has_value());
  EXPECT_EQ(Installed.workerOf(Block->Accelerators.front()),
            Installed.workerOf(12));
}

// Guards against a reclaim that stops several gangs where one is enough, or an
// older one where a younger one is enough.
TEST(BlockFinderTest, stopsTheFewestAndYoungestGangs) {
  const auto Installed = cluster();
  BlockFinder::Occupancy Current(Installed.acceleratorCount(), 1);
  for (std::uint32_t Index = 0; Index < 4; ++Index)
    Current[Index] = 10 + Index; // four young gangs
  for (std::uint32_t Index = 4; Index < 8; ++Index)
    Current[Index] = 5;
  const auto Finder =
      BlockFinder::make(Installed, PlacementRule::SmallestBlock);
  EXPECT_EQ(Finder.findBest({4, true, {}}, Current)->Victims,
            std::vector<std::int64_t>{5});
  EXPECT_EQ(Finder.findBest({1, true, {}}, Current)->Victims,
            std::vector<std::int64_t>{13});
}

TEST(BlockFinderTest, rejectsWorkerListsThatAreNotATopology) {
  EXPECT_FALSE(Topology::make({}));
  EXPECT_FALSE(Topology::make({{"w", "r", "z", "k", 0}}));
  EXPECT_FALSE(
      Topology::make({{"w", "r", "z", "k", 1}, {"w", "r", "z", "k2", 1}}));
}

} // namespace
} // namespace jayramp
