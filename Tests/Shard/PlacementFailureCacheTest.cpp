#include "Scheduling/PlacementFailureCache.h"

#include <gtest/gtest.h>

namespace jayramp::scheduling {
namespace {

auto shape(std::int64_t Gpus, std::size_t Count) -> TaskGroupShape {
  return {"pool", {}, {1000, 1000, Gpus}, Count, false, false};
}

TEST(PlacementFailureCacheTest, rulesOutWhatAsksForAsMuchOrMore) {
  PlacementFailureCache Failed;
  Failed.add(shape(2, 4));
  EXPECT_TRUE(Failed.rulesOut(shape(2, 4)));
  EXPECT_TRUE(Failed.rulesOut(shape(4, 8)));
  EXPECT_FALSE(Failed.rulesOut(shape(1, 8)));
  EXPECT_FALSE(Failed.rulesOut(shape(4, 2)));
}

TEST(PlacementFailureCacheTest, keepsPoolsAndLabelsApart) {
  PlacementFailureCache Failed;
  Failed.add(shape(2, 4));
  auto Elsewhere = shape(2, 4);
  Elsewhere.Service = "other";
  EXPECT_FALSE(Failed.rulesOut(Elsewhere));
  auto Labelled = shape(2, 4);
  Labelled.RequiredLabel = "fast";
  EXPECT_FALSE(Failed.rulesOut(Labelled));
}

// Guards against a gang that no rack can hold, may use all racks, and is taken
// for one that does not fit because a smaller one found no rack.
TEST(PlacementFailureCacheTest, largerGangMayFitWhereOneOfARackDoesNot) {
  PlacementFailureCache Failed;
  auto OneRack = shape(8, 4);
  OneRack.OneRack = true;
  Failed.add(OneRack);
  EXPECT_TRUE(Failed.rulesOut(OneRack));
  OneRack.Count = 16;
  EXPECT_FALSE(Failed.rulesOut(OneRack));
}

// Guards against tasks that are kept waiting because others had a limit.
TEST(PlacementFailureCacheTest, limitOfTasksOnAWorkerStopsOnlyItsOwn) {
  PlacementFailureCache Failed;
  auto Limited = shape(1, 4);
  Limited.Limited = true;
  Failed.add(Limited);
  EXPECT_FALSE(Failed.rulesOut(shape(1, 4)));
}

TEST(PlacementFailureCacheTest, costIsComparedWithTheBudget) {
  PlacementFailureCache Failed;
  Failed.add(shape(2, 4), 10.0);
  EXPECT_TRUE(Failed.rulesOut(shape(2, 4), 9.0));
  EXPECT_FALSE(Failed.rulesOut(shape(2, 4), 10.0));
  EXPECT_FALSE(Failed.rulesOut(shape(4, 4), 9.0));
}

} // namespace
} // namespace jayramp::scheduling
