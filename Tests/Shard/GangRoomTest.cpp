#include "SchedulerFixture.h"

#include <algorithm>

namespace jayramp::scheduling {
namespace {

/// Twenty workers of eight accelerators, beside a stream of small tasks that
/// keeps most of them busy.
class GangRoomTest : public SchedulerFixture {
protected:
  static constexpr std::int64_t StepMs = 100;

  auto SetUp() -> void override { addWorkers(4, 5); }

  /// Adds a gang that needs five empty workers. Its objective is 25 s.
  auto addGang(std::uint32_t Priority = 1) -> void {
    addJob("gang", {Priority, 5, 8, true, false, Milliseconds(8000)}, 0);
  }

  /// Adds small jobs of which four fit on a worker. They take 0.6 s to 3.4 s,
  /// so that the tasks of a worker end at different times.
  auto addSmallJobs(int Count, std::int64_t Ms, std::uint32_t Priority = 1)
      -> void {
    for (int Number = 0; Number < Count; ++Number) {
      const Milliseconds Time(600 + 700 * (NextSmallJob * 3 % 5));
      auto Small = jobSpec("small" + std::to_string(NextSmallJob++),
                           {Priority, 1, 2, false, false, Time});
      Small.Steps[0].Need.CpuMillis = 12000;
      Scheduler.addJob(Small, {}, at(Ms));
    }
  }

  /// Fills 17 workers with tasks of 15 s, so that the gang lacks two.
  auto addLongJobs() -> void {
    for (int Number = 0; Number < 17; ++Number) {
      auto Long = jobSpec("long" + std::to_string(Number),
                          {1, 1, 8, false, false, Milliseconds(15000)});
      Long.Steps[0].Need.CpuMillis = 64000;
      Scheduler.addJob(Long, {}, at(0));
    }
  }

  /// Ends small tasks and makes a pass.
  auto step(std::int64_t Ms) -> void {
    endRuns(Ms);
    Scheduler.schedule(at(Ms));
    for (const auto &Each : Scheduler.takePlacementDecisions())
      if (Each.Job != "gang")
        LongestSmallWait = std::max(LongestSmallWait, Each.WaitedSeconds);
  }

  /// Submits small jobs that need 90% of the pool until the gang is placed.
  /// Returns when that was, or \p UntilMs.
  auto stepUntilGangIsPlaced(std::int64_t UntilMs) -> std::int64_t {
    for (std::int64_t Ms = 0; Ms < UntilMs; Ms += StepMs) {
      addSmallJobs(Ms % 500 == 0 ? 2 : 4, Ms);
      step(Ms);
      if (!runsOf("gang").empty())
        return Ms;
    }
    return UntilMs;
  }

  auto heldGangs() const -> std::size_t {
    return Scheduler.roomForGangs().gatherings().size();
  }

  int NextSmallJob = 0;
  double LongestSmallWait = 0;
};

// Guards against a gang that waits without a bound because small jobs take
// every worker that becomes free, and against room that is gathered at the cost
// of long waits of those jobs.
TEST_F(GangRoomTest, wideGangStarvesAmongSmallJobs) {
  addSmallJobs(72, 0);
  addGang();
  const auto PlacedAt = stepUntilGangIsPlaced(30000);
  EXPECT_LE(PlacedAt, 12500 + 3000) << "Half of the objective, longest hold.";
  for (auto Ms = PlacedAt + StepMs; Ms < PlacedAt + 5000; Ms += StepMs)
    step(Ms);
  EXPECT_LE(LongestSmallWait, 3.0);
  EXPECT_EQ(heldGangs(), 0U);
}

// Guards against room that is held without an end for a gang whose workers do
// not become free as expected.
TEST_F(GangRoomTest, roomIsHeldWithoutEnd) {
  addLongJobs();
  addGang();
  std::int64_t HeldMs = 0;
  for (std::int64_t Ms = 0; Ms < 20000; Ms += StepMs) {
    Scheduler.schedule(at(Ms));
    HeldMs += heldGangs() > 0 ? StepMs : 0;
  }
  EXPECT_GT(HeldMs, 0);
  EXPECT_LE(HeldMs, 3500);
  EXPECT_EQ(heldGangs(), 0U);
  addSmallJobs(12, 20000);
  Scheduler.schedule(at(20000));
  EXPECT_EQ(Scheduler.runs().size(), 17U + 12U) << "The room is free again.";
}

// Guards against urgent jobs that wait for room held for a less urgent gang.
TEST_F(GangRoomTest, urgentJobWaitsForHeldRoom) {
  addLongJobs();
  addGang();
  for (std::int64_t Ms = 0; Ms <= 14000; Ms += StepMs)
    Scheduler.schedule(at(Ms));
  ASSERT_EQ(heldGangs(), 1U);
  addSmallJobs(1, 14050, 1);
  Scheduler.schedule(at(14050));
  EXPECT_TRUE(runsOf("small0").empty()) << "An equally urgent job waits.";
  addSmallJobs(12, 14100, 0);
  Scheduler.schedule(at(14100));
  EXPECT_EQ(runsOf("small1").size(), 1U);
  EXPECT_EQ(runsOf("small12").size(), 1U);
}

// Guards against tasks that stand still because room is held while most of the
// pool is idle.
TEST_F(GangRoomTest, roomIsHeldOnAnIdlePool) {
  addSmallJobs(80, 0);
  Scheduler.schedule(at(0));
  addGang();
  int Number = 0;
  for (const auto &[Id, LiveRun] : std::map(Scheduler.runs()))
    if (Number++ % 4 != 0)
      Scheduler.runEnded(Id, RunOutcome::Succeeded, "", at(1000));
  for (std::int64_t Ms = 1000; Ms < 20000; Ms += StepMs) {
    Scheduler.schedule(at(Ms));
    ASSERT_EQ(heldGangs(), 0U);
  }
}

} // namespace
} // namespace jayramp::scheduling
