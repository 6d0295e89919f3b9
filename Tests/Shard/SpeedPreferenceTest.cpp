#include "Scheduling/SpeedPreference.h"

#include <gtest/gtest.h>

namespace jayramp::scheduling {
namespace {

// Guards against workers that differ only by noise being packed apart.
TEST(SpeedPreferenceTest, smallDifferencesMakeNoClass) {
  EXPECT_EQ(speedClassOf(1.0), 0);
  EXPECT_EQ(speedClassOf(0.92), 0);
  EXPECT_EQ(speedClassOf(1.1), 0);
  EXPECT_EQ(speedClassOf(1.3), 1);
  EXPECT_EQ(speedClassOf(2.4), 4);
  EXPECT_EQ(speedClassOf(0.0), 0);
}

// Guards against work with slack taking the fast workers, and against work that
// is late anyhow taking the slowest.
TEST(SpeedPreferenceTest, slowestInTimeComesFirstThenTheFastest) {
  const auto Speeds =
      SpeedPreference::forTasks(Milliseconds(1000), Milliseconds(2200));
  EXPECT_EQ(Speeds.slowestInTime(), 2);
  EXPECT_LT(Speeds.rankOf(2), Speeds.rankOf(0));
  EXPECT_LT(Speeds.rankOf(0), Speeds.rankOf(3));
  EXPECT_LT(Speeds.rankOf(3), Speeds.rankOf(4));
}

// Guards against urgent work that waits for a faster worker although it is
// expected to end in time on a free one.
TEST(SpeedPreferenceTest, theMarginAloneIsNotWorthAWait) {
  const auto Speeds =
      SpeedPreference::forTasks(Milliseconds(1000), Milliseconds(1500));
  EXPECT_EQ(Speeds.slowestInTime(), 0);
  EXPECT_EQ(Speeds.slowestPossible(), 1);
}

// Guards against urgent work that takes the slowest worker that will just do.
TEST(SpeedPreferenceTest, withoutSlackTheFastestComesFirst) {
  const auto Speeds =
      SpeedPreference::forTasks(Milliseconds(1000), Milliseconds(2200), 2);
  EXPECT_EQ(Speeds.slowestInTime(), 2);
  EXPECT_LT(Speeds.rankOf(0), Speeds.rankOf(1));
  EXPECT_LT(Speeds.rankOf(-1), Speeds.rankOf(0));
}

TEST(SpeedPreferenceTest, withoutTimeLeftNoClassIsInTime) {
  const auto Speeds =
      SpeedPreference::forTasks(Milliseconds(1000), Milliseconds(-50));
  EXPECT_LT(Speeds.slowestInTime(), speedClassOf(0.01));
  EXPECT_LT(Speeds.rankOf(0), Speeds.rankOf(1));
}

// Guards against one slow member slowing down a gang that fits on fast workers.
TEST(SpeedPreferenceTest, gangsAreTriedOnAlikeWorkersFirst) {
  const auto Speeds =
      SpeedPreference::forTasks(Milliseconds(1000), Milliseconds(2200));
  const auto Ranges = Speeds.rangesForGang({-2, -1, 1, 4, 5}, {});
  ASSERT_EQ(Ranges.size(), 3U);
  EXPECT_EQ(Ranges[0], (SpeedRange{1, 1}));
  EXPECT_EQ(Ranges[1], (SpeedRange{-2, -1}));
  EXPECT_EQ(Ranges[2], (SpeedRange{-2, 1}));
}

// Guards against a gang on workers of very different speed where the speeds are
// spread evenly.
TEST(SpeedPreferenceTest, alikeClassesDoNotChain) {
  const auto Ranges = SpeedPreference().rangesForGang({0, 1, 2, 3, 4}, {});
  ASSERT_FALSE(Ranges.empty());
  EXPECT_EQ(Ranges[0], (SpeedRange{4, 4}));
}

// Guards against searches that are repeated although the workers are alike.
TEST(SpeedPreferenceTest, alikeWorkersAreSearchedOnce) {
  EXPECT_TRUE(SpeedPreference().rangesForGang({0}, {}).empty());
  EXPECT_TRUE(SpeedPreference().rangesForGang({0, 1}, {}).empty());
}

} // namespace
} // namespace jayramp::scheduling
