#include "Scheduling/PlacementFailureCache.h"

#include <gtest/gtest.h>

namespace jayramp::scheduling {
namespace {

auto shape(std::int64_t Gpus, std::size_t Count) -> TaskGroupShape {
  return {"pool", {}, {1000, 1000, Gpus}, Count, false, false};
}

TEST(PlacementFailureCacheTest, rejectsShapesThatRequestAsMuchOrMore) {
  PlacementFailureCache Cache;
  Cache.add(shape(2, 4));
  EXPECT_TRUE(Cache.isKnownToFail(shape(2, 4)));
  EXPECT_TRUE(Cache.isKnownToFail(shape(4, 8)));
  EXPECT_FALSE(Cache.isKnownToFail(shape(1, 8)));
  EXPECT_FALSE(Cache.isKnownToFail(shape(4, 2)));
}

TEST(PlacementFailureCacheTest, ignoresFailuresWithAnotherPoolOrLabel) {
  PlacementFailureCache Cache;
  Cache.add(shape(2, 4));
  auto OtherPoolShape = shape(2, 4);
  OtherPoolShape.Service = "other";
  EXPECT_FALSE(Cache.isKnownToFail(OtherPoolShape));
  auto LabelledShape = shape(2, 4);
  LabelledShape.RequiredLabel = "fast";
  EXPECT_FALSE(Cache.isKnownToFail(LabelledShape));
}

// Guards against rejecting a gang that is too large for every rack, and may
// therefore be spread over all racks, because a smaller gang that must stay in
// one rack did not fit.
TEST(PlacementFailureCacheTest, largerGangMayFitWhereSingleRackGangDoesNot) {
  PlacementFailureCache Cache;
  auto SingleRackShape = shape(8, 4);
  SingleRackShape.RequiresSingleRack = true;
  Cache.add(SingleRackShape);
  EXPECT_TRUE(Cache.isKnownToFail(SingleRackShape));
  SingleRackShape.TaskCount = 16;
  EXPECT_FALSE(Cache.isKnownToFail(SingleRackShape));
}

// Guards against rejecting tasks because other tasks with the same resources
// failed on their per-worker limit.
TEST(PlacementFailureCacheTest, doesNotRecordShapesWithPerWorkerLimit) {
  PlacementFailureCache Cache;
  auto LimitedShape = shape(1, 4);
  LimitedShape.HasPerWorkerLimit = true;
  Cache.add(LimitedShape);
  EXPECT_FALSE(Cache.isKnownToFail(shape(1, 4)));
}

TEST(PlacementFailureCacheTest, comparesTheRecordedCostWithTheBudget) {
  PlacementFailureCache Cache;
  Cache.add(shape(2, 4), 10.0);
  EXPECT_TRUE(Cache.isKnownToFail(shape(2, 4), 9.0));
  EXPECT_FALSE(Cache.isKnownToFail(shape(2, 4), 10.0));
  EXPECT_FALSE(Cache.isKnownToFail(shape(4, 4), 9.0));
}

} // namespace
} // namespace jayramp::scheduling
