#include "Shard/WorkerLeases.h"

#include <gtest/gtest.h>

namespace jayramp::test {
namespace {

using shard::WorkerClock;
using shard::WorkerLeases;

constexpr Milliseconds LeaseDuration{5000};
constexpr Milliseconds MaxLeaseDuration{10000};
constexpr TimePoint Start{Milliseconds(1000)};

class WorkerLeasesTest : public testing::Test {
protected:
  WorkerLeases Leases{LeaseDuration, MaxLeaseDuration, std::nullopt};
};

// Guards against giving up runs before the last lease that was granted is over.
TEST_F(WorkerLeasesTest, expireWithTheLastGrant) {
  Leases.clock().recordAnswer(1, Start);
  Leases.grant(Start);
  const auto Later = Start + Milliseconds(1000);
  Leases.grant(Later);
  EXPECT_EQ(Leases.expireAt(),
            Later + WorkerClock::maxLeaseDuration(LeaseDuration));
}

// Guards against giving up runs that hold a lease by the clock of the worker's
// former process.
TEST_F(WorkerLeasesTest, newIncarnationMayHoldTheLongestLease) {
  Leases.clock().recordAnswer(1, Start);
  Leases.grant(Start);
  Leases.onNewIncarnation(Start + Milliseconds(100));
  EXPECT_EQ(Leases.expireAt(),
            Start + Milliseconds(100) +
                WorkerClock::maxLeaseDuration(MaxLeaseDuration));
  EXPECT_FALSE(Leases.canGrant());
}

// Guards against work that waits for leases that nobody holds.
TEST_F(WorkerLeasesTest, newIncarnationAfterAllLeasesHoldsNone) {
  Leases.clock().recordAnswer(1, Start);
  Leases.grant(Start);
  const auto Over = Leases.expireAt();
  Leases.onNewIncarnation(Over);
  EXPECT_EQ(Leases.expireAt(), Over);
}

TEST(WorkerLeasesOfPredecessorTest, expireAsThePredecessorsDo) {
  const WorkerLeases Leases(LeaseDuration, MaxLeaseDuration, Start);
  EXPECT_EQ(Leases.expireAt(), Start);
}

} // namespace
} // namespace jayramp::test
