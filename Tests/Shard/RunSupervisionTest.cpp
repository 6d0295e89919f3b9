#include "SchedulerFixture.h"

namespace jayramp::scheduling {
namespace {

/// Replays progress reports of a gang whose runs make no progress on some
/// workers.
class RunSupervisionTest : public SchedulerFixture {
protected:
  auto startGang(std::uint32_t Members, Milliseconds Estimate) -> void {
    addWorkers(4, 4);
    addJob("gang", {0, Members, 8, true, false, Estimate});
    Scheduler.schedule(at(0));
    confirmStarts(0);
  }

  /// Reports the progress of every run of the gang at \p Ms and makes a
  /// scheduling pass. Tasks with an index in \p SlowIndices report
  /// \p SlowPercent, the others \p Percent.
  auto reportProgress(std::int64_t Ms, std::uint32_t Percent,
                      const std::set<std::uint32_t> &SlowIndices,
                      std::uint32_t SlowPercent) -> void {
    for (const auto &LiveRun : runsOf("gang"))
      Scheduler.runProgressed(
          LiveRun.Id,
          SlowIndices.contains(LiveRun.Id.Index) ? SlowPercent : Percent, {},
          at(Ms));
    Scheduler.schedule(at(Ms));
  }

  /// Returns the indices of the tasks that were stopped as stalled since the
  /// last call.
  auto takeStalledIndices() -> std::set<std::uint32_t> {
    std::set<std::uint32_t> Indices;
    for (const auto &Stop : Scheduler.takeStopDecisions())
      if (Stop.Reason == StopReason::Stalled)
        Indices.insert(Stop.Run.Index);
    return Indices;
  }
};

// Guards against an urgent gang that waits for the stall timeout of 2.2 s for a
// member on a worker that reports to be healthy but runs nothing.
TEST_F(RunSupervisionTest, stopsAMemberThatStallsWhileTheOthersProgress) {
  startGang(6, Milliseconds(2100));
  reportProgress(250, 11, {2}, 0);
  EXPECT_TRUE(takeStalledIndices().empty());
  reportProgress(500, 23, {2}, 0);
  EXPECT_EQ(takeStalledIndices(), std::set<std::uint32_t>{2});
}

// Guards against a restart on another worker on which the gang stalled as well.
TEST_F(RunSupervisionTest, quarantinesEveryWorkerWithAStalledMember) {
  startGang(6, Milliseconds(2100));
  std::set<std::string> StalledWorkers;
  for (const auto &LiveRun : runsOf("gang"))
    if (LiveRun.Id.Index == 1 || LiveRun.Id.Index == 4)
      StalledWorkers.insert(LiveRun.Worker);
  reportProgress(300, 14, {1, 4}, 3);
  reportProgress(900, 42, {1, 4}, 3);
  EXPECT_EQ(takeStalledIndices(), (std::set<std::uint32_t>{1, 4}));
  for (const auto &Worker : StalledWorkers)
    EXPECT_GT(Scheduler.worker(Worker)->QuarantinedUntil, at(900));
}

// Guards against restarting a gang whose members all start slowly: a restart
// would not make it faster.
TEST_F(RunSupervisionTest, keepsAGangWithoutAnyProgressRunning) {
  startGang(6, Milliseconds(2100));
  reportProgress(500, 0, {}, 0);
  reportProgress(1200, 0, {}, 0);
  EXPECT_TRUE(takeStalledIndices().empty());
}

// Guards against restarting a task that makes progress but takes longer than
// the others: it would take as long on another worker.
TEST_F(RunSupervisionTest, keepsASlowMemberThatMakesProgress) {
  startGang(6, Milliseconds(7200));
  reportProgress(1000, 14, {2}, 2);
  reportProgress(1500, 21, {2}, 3);
  reportProgress(2000, 28, {2}, 4);
  EXPECT_TRUE(takeStalledIndices().empty());
}

// Guards against treating a run as stalled because its worker has not reported
// for a while: without a newer report, nothing is known about its progress.
TEST_F(RunSupervisionTest, doesNotTreatAMissingReportAsAStall) {
  startGang(6, Milliseconds(2100));
  reportProgress(100, 5, {}, 0);
  for (const auto &LiveRun : runsOf("gang"))
    if (LiveRun.Id.Index != 2)
      Scheduler.runProgressed(LiveRun.Id, 60, {}, at(1300));
  Scheduler.schedule(at(1300));
  EXPECT_TRUE(takeStalledIndices().empty());
}

// Guards against an urgent gang that waits 2.2 s for a member whose worker
// resets every connection, and against quarantining the workers of the others.
TEST_F(RunSupervisionTest, stopsAMemberThatDoesNotStart) {
  addWorkers(4, 4);
  addJob("gang", {0, 4, 8, true, false, Milliseconds(2100)});
  Scheduler.schedule(at(0));
  std::string UnresponsiveWorker;
  for (const auto &LiveRun : runsOf("gang"))
    if (LiveRun.Id.Index == 3)
      UnresponsiveWorker = LiveRun.Worker;
    else
      Scheduler.runStarted(LiveRun.Id, at(20));
  Scheduler.schedule(at(500));
  EXPECT_TRUE(takeStalledIndices().empty());
  Scheduler.schedule(at(800));
  EXPECT_EQ(takeStalledIndices(), std::set<std::uint32_t>{3});
  for (const auto &[Name, Worker] : Scheduler.workers())
    EXPECT_EQ(Worker.QuarantinedUntil > at(800), Name == UnresponsiveWorker)
        << Name;
}

// Guards against breaking a gang because the workers' answers take long, for
// example on a full link.
TEST_F(RunSupervisionTest, awaitsTheStartOfAMemberForAsLongAsAnAnswerMayTake) {
  addWorkers(4, 4);
  addJob("gang", {0, 4, 8, true, false, Milliseconds(2100)});
  Scheduler.setAnswerTimeout(Milliseconds(1200));
  Scheduler.schedule(at(0));
  for (const auto &LiveRun : runsOf("gang"))
    if (LiveRun.Id.Index != 3)
      Scheduler.runStarted(LiveRun.Id, at(20));
  Scheduler.schedule(at(1500));
  EXPECT_TRUE(takeStalledIndices().empty());
  Scheduler.schedule(at(1600));
  EXPECT_EQ(takeStalledIndices(), std::set<std::uint32_t>{3});
}

// Guards against stopping a gang because the store write that precedes the
// start orders takes long.
TEST_F(RunSupervisionTest, keepsAGangOfWhichNoMemberHasStarted) {
  addWorkers(4, 4);
  addJob("gang", {0, 4, 8, true, false, Milliseconds(2100)});
  Scheduler.schedule(at(0));
  Scheduler.schedule(at(2000));
  EXPECT_TRUE(takeStalledIndices().empty());
}

// Guards against quarantining all workers of a gang that never makes progress:
// at most one of them can be at fault, the others are healthy.
TEST_F(RunSupervisionTest, quarantinesOneWorkerIfNoMemberProgresses) {
  startGang(6, Milliseconds(2100));
  reportProgress(1000, 0, {}, 0);
  reportProgress(2300, 0, {}, 0);
  EXPECT_EQ(takeStalledIndices().size(), 1U);
  int QuarantinedCount = 0;
  for (const auto &[Name, Worker] : Scheduler.workers())
    QuarantinedCount += Worker.QuarantinedUntil > at(2300) ? 1 : 0;
  EXPECT_EQ(QuarantinedCount, 1);
}

// Guards against polling the workers so rarely that a stalled member makes an
// urgent gang miss its latency objective. Polls are most frequent in its first
// second.
TEST_F(RunSupervisionTest, pollsANewUrgentGangAtTheHighRate) {
  startGang(2, Milliseconds(2100));
  addJob("batch", {2, 1, 1});
  Scheduler.schedule(at(0));
  confirmStarts(0);
  const auto GangRun = runsOf("gang").front().Id;
  const auto BatchRun = runsOf("batch").front().Id;
  EXPECT_EQ(Scheduler.pollRateOf(GangRun, at(300)), RunPollRate::High);
  EXPECT_EQ(Scheduler.pollRateOf(GangRun, at(1500)), RunPollRate::Elevated);
  EXPECT_EQ(Scheduler.pollRateOf(BatchRun, at(300)), RunPollRate::Normal);
}

} // namespace
} // namespace jayramp::scheduling
