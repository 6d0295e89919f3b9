#include "SchedulerFixture.h"

namespace jayramp::scheduling {
namespace {

/// Replays the listings of a gang on workers of which some stand still.
class RunSupervisionTest : public SchedulerFixture {
protected:
  auto startGang(std::uint32_t Members, Milliseconds Estimate) -> void {
    addWorkers(4, 4);
    add("gang", {0, Members, 8, true, false, Estimate});
    Scheduler.schedule(at(0));
    startAll(0);
  }

  /// Lists every run of the gang at \p Ms. Those in \p Slow are listed with
  /// \p SlowPercent, the others with \p Percent.
  auto list(std::int64_t Ms, std::uint32_t Percent,
            const std::set<std::uint32_t> &Slow, std::uint32_t SlowPercent)
      -> void {
    for (const auto &Alive : runsOf("gang"))
      Scheduler.runProgressed(
          Alive.Id, Slow.contains(Alive.Id.Index) ? SlowPercent : Percent, {},
          at(Ms));
    Scheduler.schedule(at(Ms));
  }

  auto stalled() -> std::set<std::uint32_t> {
    std::set<std::uint32_t> Found;
    for (const auto &Stop : Scheduler.takeStopDecisions())
      if (Stop.Reason == StopReason::Stalled)
        Found.insert(Stop.Run.Index);
    return Found;
  }
};

// Guards against urgent gangs that wait 2.2 s for members on workers that run
// nothing although they report to be healthy.
TEST_F(RunSupervisionTest, findsAMemberThatStandsStillBesideTheOthers) {
  startGang(6, Milliseconds(2100));
  list(250, 11, {2}, 0);
  EXPECT_TRUE(stalled().empty());
  list(500, 23, {2}, 0);
  EXPECT_EQ(stalled(), std::set<std::uint32_t>{2});
}

// Guards against a second attempt on the other worker that stood still.
TEST_F(RunSupervisionTest, avoidsEveryWorkerThatStoodStill) {
  startGang(6, Milliseconds(2100));
  std::set<std::string> Bad;
  for (const auto &Alive : runsOf("gang"))
    if (Alive.Id.Index == 1 || Alive.Id.Index == 4)
      Bad.insert(Alive.Worker);
  list(300, 14, {1, 4}, 3);
  list(900, 42, {1, 4}, 3);
  EXPECT_EQ(stalled(), (std::set<std::uint32_t>{1, 4}));
  for (const auto &Worker : Bad)
    EXPECT_GT(Scheduler.worker(Worker)->QuarantinedUntil, at(900));
}

// Guards against the restart of gangs whose members all start slowly, which
// gains nothing.
TEST_F(RunSupervisionTest, leavesAGangAloneThatHasNotBegun) {
  startGang(6, Milliseconds(2100));
  list(500, 0, {}, 0);
  list(1200, 0, {}, 0);
  EXPECT_TRUE(stalled().empty());
}

// Guards against the restart of a task that is only longer than the others: it
// would be as long elsewhere.
TEST_F(RunSupervisionTest, leavesAMemberAloneThatIsLonger) {
  startGang(6, Milliseconds(7200));
  list(1000, 14, {2}, 2);
  list(1500, 21, {2}, 3);
  list(2000, 28, {2}, 4);
  EXPECT_TRUE(stalled().empty());
}

// Guards against a verdict from an old listing: a worker that has not answered
// since says nothing about its run.
TEST_F(RunSupervisionTest, judgesByListingsOnly) {
  startGang(6, Milliseconds(2100));
  list(100, 5, {}, 0);
  for (const auto &Alive : runsOf("gang"))
    if (Alive.Id.Index != 2)
      Scheduler.runProgressed(Alive.Id, 60, {}, at(1300));
  Scheduler.schedule(at(1300));
  EXPECT_TRUE(stalled().empty());
}

// Guards against an urgent gang that waits 2.2 s for a member whose worker
// resets every order, and against blame on the workers of the others.
TEST_F(RunSupervisionTest, givesUpAMemberThatDoesNotStart) {
  addWorkers(4, 4);
  add("gang", {0, 4, 8, true, false, Milliseconds(2100)});
  Scheduler.schedule(at(0));
  std::string Silent;
  for (const auto &Alive : runsOf("gang"))
    if (Alive.Id.Index == 3)
      Silent = Alive.Worker;
    else
      Scheduler.runStarted(Alive.Id, at(20));
  Scheduler.schedule(at(500));
  EXPECT_TRUE(stalled().empty());
  Scheduler.schedule(at(800));
  EXPECT_EQ(stalled(), std::set<std::uint32_t>{3});
  for (const auto &[Name, Worker] : Scheduler.workers())
    EXPECT_EQ(Worker.QuarantinedUntil > at(800), Name == Silent) << Name;
}

// Guards against gangs that are given up because the write before their starts
// takes long.
TEST_F(RunSupervisionTest, waitsForStartsThatAreNotWrittenYet) {
  addWorkers(4, 4);
  add("gang", {0, 4, 8, true, false, Milliseconds(2100)});
  Scheduler.schedule(at(0));
  Scheduler.schedule(at(2000));
  EXPECT_TRUE(stalled().empty());
}

// Guards against healthy workers that get no tasks because a gang on them never
// began.
TEST_F(RunSupervisionTest, blamesOneWorkerWhenNoMemberBegins) {
  startGang(6, Milliseconds(2100));
  list(1000, 0, {}, 0);
  list(2300, 0, {}, 0);
  EXPECT_EQ(stalled().size(), 1U);
  int Quarantined = 0;
  for (const auto &[Name, Worker] : Scheduler.workers())
    Quarantined += Worker.QuarantinedUntil > at(2300) ? 1 : 0;
  EXPECT_EQ(Quarantined, 1);
}

// Guards against a long look at each worker that lets an urgent gang miss its
// objective: listings of its first second come often.
TEST_F(RunSupervisionTest, watchesAYoungUrgentGangClosely) {
  startGang(2, Milliseconds(2100));
  add("batch", {2, 1, 1});
  Scheduler.schedule(at(0));
  startAll(0);
  const auto Gang = runsOf("gang").front().Id;
  const auto Batch = runsOf("batch").front().Id;
  EXPECT_EQ(Scheduler.pollRateOf(Gang, at(300)), RunPollRate::High);
  EXPECT_EQ(Scheduler.pollRateOf(Gang, at(1500)), RunPollRate::Elevated);
  EXPECT_EQ(Scheduler.pollRateOf(Batch, at(300)), RunPollRate::Normal);
}

} // namespace
} // namespace jayramp::scheduling
