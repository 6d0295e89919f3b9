#include "SchedulerFixture.h"

#include <algorithm>

namespace jayramp::scheduling {
namespace {

/// Checks what the scheduler reports about tasks that wait for more than a
/// second.
class WaitDiagnosisTest : public SchedulerFixture {
protected:
  /// Makes a pass at \p Ms and returns the report about a job; none if there is
  /// none.
  auto reportOf(const std::string &Job, std::int64_t Ms)
      -> std::optional<WaitReport> {
    Scheduler.schedule(at(Ms));
    const auto Reports = Scheduler.takeWaitReports();
    const auto Found =
        std::find_if(Reports.begin(), Reports.end(),
                     [&](const auto &Each) { return Each.Job == Job; });
    if (Found == Reports.end())
      return std::nullopt;
    return *Found;
  }

  /// Returns the last report about a job since the last call.
  auto lastReportOf(const std::string &Job) -> std::optional<WaitReport> {
    std::optional<WaitReport> Last;
    for (const auto &Each : Scheduler.takeWaitReports())
      if (Each.Job == Job)
        Last = Each;
    return Last;
  }

  auto expectReason(const std::string &Job, std::int64_t Ms, WaitReason Reason)
      -> void {
    const auto Report = reportOf(Job, Ms);
    ASSERT_TRUE(Report);
    EXPECT_EQ(toString(Report->Reason), toString(Reason));
  }
};

TEST_F(WaitDiagnosisTest, reportsWhatFitsAndHowFullThePoolIs) {
  addWorkers(1, 2);
  addJob("long", {1, 1, 8});
  Scheduler.schedule(at(0));
  addJob("gang", {1, 2, 8, true}, 100);
  EXPECT_FALSE(reportOf("gang", 1000));
  const auto Report = reportOf("gang", 1350);
  ASSERT_TRUE(Report);
  EXPECT_EQ(Report->Reason, WaitReason::Room);
  EXPECT_EQ(Report->Tasks, 2U);
  EXPECT_EQ(Report->RoomFor, 1U);
  // One core and eight accelerators of two workers.
  EXPECT_NEAR(Report->PoolUse, 65.0 / 256.0, 0.001);
  EXPECT_DOUBLE_EQ(Report->WaitedSeconds, 1.25);
}

// Guards against a pool that looks full of work while no worker has confirmed
// the runs that fill it.
TEST_F(WaitDiagnosisTest, tellsConfirmedRunsFromOthersThatTakeRoom) {
  addWorkers(1, 2);
  addJob("long", {1, 2, 8});
  Scheduler.schedule(at(0));
  Scheduler.runStarted(runsOf("long").at(0).Id, at(10));
  addJob("next", {1, 1, 8}, 100);
  auto Report = reportOf("next", 1350);
  ASSERT_TRUE(Report);
  EXPECT_NEAR(Report->PoolUse, 130.0 / 256.0, 0.001);
  EXPECT_NEAR(Report->ConfirmedUse, 65.0 / 256.0, 0.001);
  Scheduler.runStarted(runsOf("long").at(1).Id, at(1400));
  Scheduler.stopRun(runsOf("long").at(0).Id, StopReason::Preempted);
  Report = reportOf("next", 3400);
  ASSERT_TRUE(Report);
  EXPECT_NEAR(Report->PoolUse, 130.0 / 256.0, 0.001);
  EXPECT_NEAR(Report->ConfirmedUse, 65.0 / 256.0, 0.001);
}

// Guards against taking a gang that waits for a rack for one without room.
TEST_F(WaitDiagnosisTest, tellsARackFromRoom) {
  addWorkers(2, 2);
  for (const auto *Id : {"a", "b", "c", "d"})
    addJob(Id, {1, 1, 8});
  Scheduler.schedule(at(0));
  std::set<std::string> FreeRacks;
  for (const auto *Id : {"a", "b", "c", "d"})
    if (FreeRacks.insert(*racksOf(Id).begin()).second)
      Scheduler.runEnded(runsOf(Id).at(0).Id, RunOutcome::Succeeded, {},
                         at(100));
  addJob("gang", {1, 2, 8, true, true}, 100);
  expectReason("gang", 1200, WaitReason::Rack);
}

TEST_F(WaitDiagnosisTest, namesTheReserveForUrgentArrivals) {
  addWorkers(1, 2);
  addJob("urgent", {0, 1, 8}, 0);
  Scheduler.schedule(at(0));
  addJob("batch", {2, 1, 8, false, false, Milliseconds(9000)}, 0);
  expectReason("batch", 1500, WaitReason::Reserve);
}

TEST_F(WaitDiagnosisTest, namesQuarantinedAndUnreachableWorkers) {
  addWorkers(1, 1);
  Scheduler.pauseWorkerUntil("w00", at(3000));
  addJob("task", {0, 1, 1});
  expectReason("task", 1000, WaitReason::Quarantine);
  Scheduler.setReachable("w00", false);
  expectReason("task", 4000, WaitReason::Unreachable);
}

TEST_F(WaitDiagnosisTest, namesAGroupThatNoWorkersCouldHold) {
  addWorkers(1, 2);
  addJob("gang", {1, 3, 8, true});
  expectReason("gang", 1000, WaitReason::NoWorker);
}

TEST_F(WaitDiagnosisTest, namesEarlierRunsOfAGang) {
  addWorkers(1, 2);
  addJob("gang", {1, 2, 8, true});
  Scheduler.schedule(at(0));
  Scheduler.runLost({"gang", 0, 0, 1}, at(100));
  Scheduler.schedule(at(100));
  expectReason("gang", 1200, WaitReason::EarlierRuns);
}

TEST_F(WaitDiagnosisTest, namesProgressThatCannotBeStored) {
  addWorkers(1, 1);
  addJob("task", {1, 1, 1});
  Scheduler.setOnHold("task", true);
  expectReason("task", 1000, WaitReason::OnHold);
}

// Guards against a diagnosis of every waiting job in each pass, which looks at
// all workers.
TEST_F(WaitDiagnosisTest, diagnosesAFewJobsAtATimeAndAllInTurn) {
  addWorkers(1, 1);
  for (int Number = 0; Number < 20; ++Number)
    addJob("j" + std::to_string(Number), {1, 2, 8, true});
  std::set<std::string> Seen;
  for (std::int64_t Ms = 1000; Ms <= 2900; Ms += 50) {
    Scheduler.schedule(at(Ms));
    const auto Reports = Scheduler.takeWaitReports();
    EXPECT_LE(Reports.size(), 4U);
    for (const auto &Report : Reports)
      EXPECT_TRUE(Seen.insert(Report.Job).second) << Report.Job;
  }
  EXPECT_EQ(Seen.size(), 20U);
}

// Guards against counting the time before some tasks of a step have started as
// a wait of the others.
TEST_F(WaitDiagnosisTest, tasksOfAStepThatStartsWaitAnew) {
  addWorkers(1, 1);
  Scheduler.pauseWorkerUntil("w00", at(900));
  addJob("tasks", {1, 2, 8});
  Scheduler.schedule(at(900));
  ASSERT_EQ(runsOf("tasks").size(), 1U);
  confirmStarts(900);
  EXPECT_FALSE(reportOf("tasks", 1800));
  const auto Report = reportOf("tasks", 2900);
  ASSERT_TRUE(Report);
  EXPECT_DOUBLE_EQ(Report->WaitedSeconds, 1.1);
}

// Guards against counting the time of earlier steps as a wait of this step.
TEST_F(WaitDiagnosisTest, countsTheWaitOfAStepFromItsTurn) {
  addWorkers(1, 1);
  auto Job = jobSpec("job", {1, 1, 8});
  Job.Steps.push_back(Job.Steps[0]);
  Job.Steps[1].After = {0};
  Scheduler.addJob(Job, {}, at(0));
  Scheduler.schedule(at(0));
  Scheduler.runEnded({"job", 0, 0, 1}, RunOutcome::Succeeded, {}, at(5000));
  Scheduler.pauseWorkerUntil("w00", at(9000));
  EXPECT_FALSE(reportOf("job", 5000));
  const auto Report = reportOf("job", 6000);
  ASSERT_TRUE(Report);
  EXPECT_DOUBLE_EQ(Report->WaitedSeconds, 1.0);
}

// Guards against jobs that are never diagnosed because older ones take all
// turns.
TEST_F(WaitDiagnosisTest, olderJobsKeepAWaitingJobFromItsDiagnosis) {
  constexpr int JobCount = 200;
  addWorkers(1, 1);
  for (int Number = 0; Number < JobCount; ++Number)
    addJob("j" + std::to_string(Number), {1, 2, 8, true}, Number);
  std::set<std::string> Seen;
  for (std::int64_t Ms = 1000; Ms <= 61000; Ms += 50) {
    Scheduler.schedule(at(Ms));
    for (const auto &Report : Scheduler.takeWaitReports())
      Seen.insert(Report.Job);
  }
  EXPECT_EQ(Seen.size(), std::size_t(JobCount));
}

// Guards against naming the reserve when the processors are the bottleneck.
TEST_F(WaitDiagnosisTest, fullProcessorsAreTakenForTheReserve) {
  addWorkers(1, 1);
  auto Filler = jobSpec("filler", {0, 1, 1});
  Filler.Steps[0].Need.CpuMillis = 64000;
  Scheduler.addJob(Filler, {}, at(0));
  Scheduler.schedule(at(0));
  addJob("urgent", {0, 1, 8}, 500);
  addJob("batch", {2, 1, 4, false, false, Milliseconds(9000)}, 500);
  for (std::int64_t Ms = 500; Ms <= 1900; Ms += 100)
    Scheduler.schedule(at(Ms));
  const auto Report = lastReportOf("batch");
  ASSERT_TRUE(Report);
  EXPECT_EQ(Report->RoomFor, 0U);
  EXPECT_EQ(toString(Report->Reason), toString(WaitReason::Room));
}

// Guards against claiming that no workers could hold the tasks while others of
// their step use up the limit per worker.
TEST_F(WaitDiagnosisTest, limitPerWorkerIsTakenForAMissingWorker) {
  addWorkers(1, 2);
  addJob("apart", {1, 4, 1, false, false, Milliseconds(9000), "", 1});
  for (std::int64_t Ms = 0; Ms <= 1600; Ms += 100)
    Scheduler.schedule(at(Ms));
  ASSERT_EQ(runsOf("apart").size(), 2U);
  const auto Report = lastReportOf("apart");
  ASSERT_TRUE(Report);
  EXPECT_NE(toString(Report->Reason), toString(WaitReason::NoWorker));
}

// Guards against counting a wait from one that a late end had ended.
TEST_F(WaitDiagnosisTest, waitThatALateEndEndedIsCountedOn) {
  addWorkers(1, 2);
  addJob("tasks", {1, 2, 8, false, false, Milliseconds(90000)});
  Scheduler.schedule(at(0));
  ASSERT_EQ(runsOf("tasks").size(), 2U);
  Scheduler.pauseWorkerUntil("w00", at(60000));
  Scheduler.pauseWorkerUntil("w01", at(60000));
  Scheduler.runLost({"tasks", 0, 0, 1}, at(1000));
  Scheduler.schedule(at(1000));
  Scheduler.runEnded({"tasks", 0, 0, 1}, RunOutcome::Succeeded, {}, at(1500));
  Scheduler.schedule(at(1500));
  Scheduler.runLost({"tasks", 0, 1, 1}, at(30000));
  for (std::int64_t Ms = 30000; Ms <= 31500; Ms += 100)
    Scheduler.schedule(at(Ms));
  const auto Report = lastReportOf("tasks");
  ASSERT_TRUE(Report);
  EXPECT_LT(Report->WaitedSeconds, 2.0);
}

} // namespace
} // namespace jayramp::scheduling
