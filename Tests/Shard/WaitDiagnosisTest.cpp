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
  EXPECT_NEAR(Report->PoolUse, 0.25, 0.26);
  EXPECT_DOUBLE_EQ(Report->WaitedSeconds, 1.25);
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
  Scheduler.quarantineWorker("w00", at(3000));
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

// Guards against reporting a wait of tasks of which some were just placed.
TEST_F(WaitDiagnosisTest, tasksThatArePlacedInPartWaitAnew) {
  addWorkers(1, 1);
  Scheduler.quarantineWorker("w00", at(1400));
  addJob("tasks", {1, 2, 8});
  EXPECT_FALSE(reportOf("tasks", 1500));
  EXPECT_EQ(runsOf("tasks").size(), 1U);
  const auto Report = reportOf("tasks", 3000);
  ASSERT_FALSE(Report);
  EXPECT_TRUE(reportOf("tasks", 4000));
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
  Scheduler.quarantineWorker("w00", at(9000));
  EXPECT_FALSE(reportOf("job", 5000));
  const auto Report = reportOf("job", 6000);
  ASSERT_TRUE(Report);
  EXPECT_DOUBLE_EQ(Report->WaitedSeconds, 1.0);
}

} // namespace
} // namespace jayramp::scheduling
