// Plays random jobs, workers and faults and checks that no task waits for long
// beside room once the faults have ended. Set JAYRAMP_SEEDS for more plays and
// JAYRAMP_SEED for the first one.

#include "MessageMutator.h"
#include "WaitBoundModel.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace jayramp::scheduling {
namespace {

using Afterwards = WaitBoundModel::Afterwards;

auto playAll(Afterwards End) -> void {
  const auto First = environmentNumber("JAYRAMP_SEED", 1);
  const auto Count = environmentNumber("JAYRAMP_SEEDS", 60);
  std::size_t Placed = 0;
  std::size_t Finished = 0;
  std::size_t Waits = 0;
  for (auto Seed = First; Seed < First + Count; ++Seed) {
    WaitBoundModel Model(Seed, End);
    Model.play();
    Placed += Model.placedCount();
    Finished += Model.finishedCount();
    Waits += Model.waitCount();
    EXPECT_EQ(Model.firstViolation(), "") << "seed " << Seed;
  }
  std::printf("placed=%zu finished-jobs=%zu waits-beside-room=%zu\n", Placed,
              Finished, Waits);
  EXPECT_GT(Placed, Count);
  EXPECT_GT(Waits, Count);
}

// Guards against tasks that wait without a bound beside room.
TEST(WaitBoundFuzzTest, noTaskWaitsBesideRoomAfterTheFaults) {
  playAll(Afterwards::AllSound);
}

// Guards against tasks that wait without a bound because of a few workers that
// stay faulty.
TEST(WaitBoundFuzzTest, noTaskWaitsBesideRoomForAFewFaultyWorkers) {
  playAll(Afterwards::SomeFaulty);
}

} // namespace
} // namespace jayramp::scheduling
