#include "SchedulerFixture.h"

#include <rapidcheck/gtest.h>

namespace jayramp::scheduling {
namespace {

class ShardSchedulerTest : public SchedulerFixture {};

// Guards against spreading small tasks over all racks, which leaves no free
// rack for urgent gangs.
TEST_F(ShardSchedulerTest, fillsOneRackBeforeTheNext) {
  addWorkers(3, 2);
  for (int Number = 0; Number < 16; ++Number)
    addJob("j" + std::to_string(Number), {2, 1, 1});
  Scheduler.schedule(at(0));
  std::set<std::string> Racks;
  for (const auto &[Id, LiveRun] : Scheduler.runs())
    Racks.insert(Scheduler.worker(LiveRun.Worker)->Report.Rack);
  EXPECT_EQ(Racks.size(), 1U);
}

TEST_F(ShardSchedulerTest, keepsAGangInOneRack) {
  addWorkers(2, 2);
  addJob("small", {2, 1, 1});
  Scheduler.schedule(at(0));
  addJob("gang", {1, 2, 8, true, true});
  Scheduler.schedule(at(0));
  EXPECT_EQ(runsOf("gang").size(), 2U);
  EXPECT_EQ(racksOf("gang").size(), 1U);
}

// Guards against starting only some members of a gang.
TEST_F(ShardSchedulerTest, placesNoMemberIfTheWholeGangDoesNotFit) {
  addWorkers(1, 2);
  addJob("gang", {1, 3, 8, true});
  Scheduler.schedule(at(0));
  EXPECT_TRUE(runsOf("gang").empty());
}

// Guards against stopping a member of a gang that has completed its work and
// makes no progress only because it waits for slower members.
TEST_F(ShardSchedulerTest, keepsACompletedGangMemberThatWaitsForOthers) {
  addWorkers(1, 2);
  addJob("gang", {1, 2, 8, true});
  Scheduler.schedule(at(0));
  confirmStarts(0);
  for (std::int64_t Ms = 100; Ms <= 6000; Ms += 500) {
    Scheduler.runProgressed({"gang", 0, 0, 1}, 100, {}, at(Ms));
    Scheduler.runProgressed({"gang", 0, 1, 1},
                            static_cast<std::uint32_t>(Ms / 100), {}, at(Ms));
    Scheduler.schedule(at(Ms));
  }
  EXPECT_TRUE(Scheduler.takeStopDecisions().empty());
}

TEST_F(ShardSchedulerTest, stopsATaskWithoutProgressAsStalled) {
  addWorkers(1, 2);
  addJob("task", {1, 1, 8});
  Scheduler.schedule(at(0));
  confirmStarts(0);
  Scheduler.runProgressed({"task", 0, 0, 1}, 10, {}, at(100));
  Scheduler.runProgressed({"task", 0, 0, 1}, 10, {}, at(6000));
  Scheduler.schedule(at(6000));
  const auto Stops = Scheduler.takeStopDecisions();
  ASSERT_EQ(Stops.size(), 1U);
  EXPECT_EQ(Stops[0].Reason, StopReason::Stalled);
}

// Guards against restarting the task of a worker whose reports are only late,
// for example because this host handles them late.
TEST_F(ShardSchedulerTest, keepsATaskWhoseWorkerHasNotReported) {
  addWorkers(1, 2);
  addJob("task", {1, 1, 8});
  Scheduler.schedule(at(0));
  confirmStarts(0);
  Scheduler.runProgressed({"task", 0, 0, 1}, 10, {}, at(100));
  Scheduler.schedule(at(6000));
  Scheduler.runProgressed({"task", 0, 0, 1}, 90, {}, at(6000));
  Scheduler.schedule(at(6001));
  EXPECT_TRUE(Scheduler.takeStopDecisions().empty());
}

// Guards against a task that never ends because its worker has lost it.
TEST_F(ShardSchedulerTest, stopsATaskThatItsWorkerNoLongerLists) {
  addWorkers(1, 2);
  addJob("task", {1, 1, 8});
  Scheduler.schedule(at(0));
  confirmStarts(0);
  Scheduler.runUnlisted({"task", 0, 0, 1}, at(1000));
  EXPECT_TRUE(Scheduler.takeStopDecisions().empty());
  Scheduler.runUnlisted({"task", 0, 0, 1}, at(3000));
  EXPECT_EQ(Scheduler.takeStopDecisions().size(), 1U);
}

// Guards against less urgent jobs that fill all workers during a burst of
// urgent jobs, so that each urgent job has to preempt some of them first.
TEST_F(ShardSchedulerTest, reservesAcceleratorsForUrgentJobsDuringABurst) {
  addWorkers(2, 4);
  for (int Number = 0; Number < 6; ++Number) {
    const auto Name = std::to_string(Number);
    addJob("urgent" + Name, {0, 1, 4}, Number * 400);
    for (int Batch = 0; Batch < 3; ++Batch)
      addJob("batch" + Name + std::to_string(Batch),
             {2, 8, 1, false, false, Milliseconds(8000)}, Number * 400);
    Scheduler.schedule(at(Number * 400));
    EXPECT_EQ(runsOf("urgent" + Name).size(), 1U) << Number;
  }
  EXPECT_TRUE(Scheduler.takeStopDecisions().empty());
}

TEST_F(ShardSchedulerTest, lessUrgentJobUsesTheReserveAfterItsMaximumWait) {
  addWorkers(1, 2);
  addJob("urgent", {0, 1, 8}, 0);
  Scheduler.schedule(at(0));
  addJob("batch", {2, 1, 8, false, false, Milliseconds(1000)}, 0);
  Scheduler.schedule(at(10));
  EXPECT_TRUE(runsOf("batch").empty());
  Scheduler.schedule(at(2500));
  EXPECT_EQ(runsOf("batch").size(), 1U);
}

// Guards against a wait for the reserve whose length the caller sets by an
// estimate that is far too long.
TEST_F(ShardSchedulerTest, estimateSetsTheLongestWaitForTheReserve) {
  constexpr std::int64_t LongestWaitMs = 15000;
  addWorkers(1, 3);
  const JobShape Batch{2, 1, 8, false, false, std::chrono::hours(1)};
  addJob("batch", Batch);
  for (std::int64_t Ms = 0; Ms <= LongestWaitMs + 500; Ms += 500) {
    const auto Urgent = "urgent" + std::to_string(Ms);
    addJob(Urgent, {0, 2, 8}, Ms);
    Scheduler.schedule(at(Ms));
    for (const auto &LiveRun : runsOf(Urgent))
      Scheduler.runEnded(LiveRun.Id, RunOutcome::Succeeded, {}, at(Ms));
    if (Ms < LongestWaitMs) {
      ASSERT_TRUE(runsOf("batch").empty()) << Ms;
    }
  }
  EXPECT_EQ(runsOf("batch").size(), 1U);
}

// Guards against a reserve of accelerators that keeps free processors from
// tasks that need no accelerator.
TEST_F(ShardSchedulerTest,
       arrivalsOfUrgentJobsHoldBackTasksWithoutAccelerators) {
  addWorkers(1, 2);
  addJob("accelerators", {1, 1, 8, false, false, Milliseconds(60000)});
  Scheduler.schedule(at(0));
  addJob("urgent", {0, 1, 4}, 100);
  Scheduler.schedule(at(100));
  addJob("processors", {2, 1, 0, false, false, Milliseconds(9000)}, 200);
  Scheduler.schedule(at(200));
  EXPECT_EQ(runsOf("processors").size(), 1U);
}

// Guards against preempting a long run for a small urgent job that does far
// less work than is lost.
TEST_F(ShardSchedulerTest, doesNotPreemptIfTheLossExceedsTheBudget) {
  addWorkers(1, 1);
  addJob("long", {1, 1, 8, false, false, Milliseconds(60000)});
  Scheduler.schedule(at(0));
  confirmStarts(0);
  Scheduler.runProgressed({"long", 0, 0, 1}, 50, {}, at(29900));
  addJob("urgent", {0, 1, 1, false, false, Milliseconds(100)}, 30000);
  Scheduler.schedule(at(30000));
  EXPECT_TRUE(Scheduler.takeStopDecisions().empty());
}

TEST_F(ShardSchedulerTest, preemptsARecentlyStartedRunForAnUrgentJob) {
  addWorkers(1, 1);
  addJob("batch", {1, 1, 8});
  Scheduler.schedule(at(0));
  confirmStarts(0);
  addJob("urgent", {0, 1, 8}, 200);
  Scheduler.schedule(at(200));
  const auto Stops = Scheduler.takeStopDecisions();
  ASSERT_EQ(Stops.size(), 1U);
  EXPECT_EQ(Stops[0].Reason, StopReason::Preempted);
  EXPECT_EQ(Stops[0].PreemptingJob, "urgent");
  // The resources become free only when the worker reports the end of the run.
  EXPECT_TRUE(runsOf("urgent").empty());
  Scheduler.runEnded(Stops[0].Run, RunOutcome::Stopped, {}, at(400));
  Scheduler.schedule(at(400));
  EXPECT_EQ(runsOf("urgent").size(), 1U);
}

// Guards against a job within a guarantee that waits too long because the loss
// would exceed its preemption budget.
TEST_F(ShardSchedulerTest, preemptsForAGuaranteeRegardlessOfTheLoss) {
  addWorkers(1, 1);
  Scheduler.setGuarantees({{"owner", 8}});
  addJob("long", {0, 1, 8, false, false, Milliseconds(60000), "guest"});
  Scheduler.schedule(at(0));
  confirmStarts(0);
  Scheduler.runProgressed({"long", 0, 0, 1}, 50, {}, at(29900));
  addJob("guaranteed", {0, 1, 1, false, false, Milliseconds(100), "owner"},
         30000);
  Scheduler.schedule(at(30000));
  EXPECT_TRUE(Scheduler.takeStopDecisions().empty());
  Scheduler.schedule(at(31300));
  EXPECT_EQ(Scheduler.takeStopDecisions().size(), 1U);
}

TEST_F(ShardSchedulerTest, spreadsAnUrgentGangAfterWaitingForASingleRack) {
  addWorkers(2, 2);
  for (const auto *Id : {"a", "b", "c", "d"})
    addJob(Id, {0, 1, 8});
  Scheduler.schedule(at(0));
  // One worker of each rack becomes free.
  std::set<std::string> FreeRacks;
  for (const auto *Id : {"a", "b", "c", "d"}) {
    const auto Rack = *racksOf(Id).begin();
    if (FreeRacks.insert(Rack).second)
      Scheduler.runEnded(runsOf(Id).at(0).Id, RunOutcome::Succeeded, {},
                         at(100));
  }
  addJob("gang", {0, 2, 8, true, true}, 100);
  Scheduler.schedule(at(100));
  EXPECT_TRUE(runsOf("gang").empty());
  confirmStarts(100);
  // The remaining tasks make progress, so that none is stopped as stalled.
  for (const auto &[Id, LiveRun] : Scheduler.runs())
    Scheduler.runProgressed(Id, 50, {}, at(1500));
  Scheduler.schedule(at(1500));
  EXPECT_TRUE(runsOf("gang").empty());
  Scheduler.schedule(at(100 + SchedulingPolicy{}.MaxSameRackWait.count()));
  EXPECT_EQ(racksOf("gang").size(), 2U);
}

// Guards against a gang that waits forever: a rack has room for it, but not
// with its limit of tasks for each worker.
TEST_F(ShardSchedulerTest, spreadsAGangThatNoRackMayHoldWithItsWorkerLimit) {
  addWorkers(4, 2);
  auto Shape = JobShape{1, 3, 1, true, true};
  Shape.MaxPerWorker = 1;
  addJob("gang", Shape);
  Scheduler.schedule(at(0));
  EXPECT_EQ(runsOf("gang").size(), 3U);
}

// Guards against spreading a gang over racks although one may hold it.
TEST_F(ShardSchedulerTest, keepsAGangInARackThatMayHoldItWithItsWorkerLimit) {
  addWorkers(2, 3);
  auto Shape = JobShape{1, 3, 1, true, true};
  Shape.MaxPerWorker = 1;
  addJob("gang", Shape);
  Scheduler.schedule(at(0));
  EXPECT_EQ(runsOf("gang").size(), 3U);
  EXPECT_EQ(racksOf("gang").size(), 1U);
}

// Guards against repeatedly placing tasks on a worker that does not answer.
TEST_F(ShardSchedulerTest, placesNoTasksOnAnUnreachableWorker) {
  addWorkers(1, 1);
  Scheduler.setReachable("w00", false);
  addJob("task", {0, 1, 1});
  Scheduler.schedule(at(0));
  EXPECT_TRUE(runsOf("task").empty());
}

// Guards against losing a run with a draining worker that has announced when it
// leaves.
TEST_F(ShardSchedulerTest, stopsARunThatWouldNotEndBeforeItsWorkerLeaves) {
  addWorkers(1, 2);
  addJob("long", {1, 1, 8, false, false, Milliseconds(10000)});
  addJob("short", {1, 1, 8, false, false, Milliseconds(10000)});
  Scheduler.schedule(at(0));
  confirmStarts(0);
  Scheduler.runProgressed({"long", 0, 0, 1}, 10, {}, at(1000));
  Scheduler.runProgressed({"short", 0, 0, 1}, 90, {}, at(1000));
  for (const auto *Job : {"long", "short"}) {
    auto Report = Scheduler.worker(runsOf(Job).at(0).Worker)->Report;
    Report.Draining = true;
    Report.Remaining = Milliseconds(2000);
    Scheduler.updateWorker(Report, at(1000));
  }
  Scheduler.schedule(at(1000));
  const auto Stops = Scheduler.takeStopDecisions();
  ASSERT_EQ(Stops.size(), 1U);
  EXPECT_EQ(Stops[0].Run.Job, "long");
  EXPECT_EQ(Stops[0].Reason, StopReason::WorkerLeaves);
}

// Guards against placing a stalled task on the same worker again.
TEST_F(ShardSchedulerTest, restartsAStalledTaskOnAnotherWorker) {
  addWorkers(1, 2);
  addJob("task", {1, 1, 8});
  Scheduler.schedule(at(0));
  confirmStarts(0);
  const auto StalledRun = runsOf("task").at(0);
  Scheduler.runProgressed(StalledRun.Id, 0, {}, at(3000));
  Scheduler.schedule(at(3000));
  Scheduler.runEnded(StalledRun.Id, RunOutcome::Stopped, {}, at(3300));
  Scheduler.schedule(at(3300));
  ASSERT_EQ(runsOf("task").size(), 1U);
  EXPECT_NE(runsOf("task")[0].Worker, StalledRun.Worker);
}

// Guards against using up all attempts of a job on one faulty worker.
TEST_F(ShardSchedulerTest, retriesAFailedTaskOnAnotherWorker) {
  addWorkers(1, 2);
  addJob("task", {0, 1, 1});
  Scheduler.schedule(at(0));
  const auto FirstRun = runsOf("task").at(0);
  Scheduler.runStarted(FirstRun.Id, at(0));
  Scheduler.runEnded(FirstRun.Id, RunOutcome::Failed, {}, at(100));
  Scheduler.schedule(at(100));
  ASSERT_EQ(runsOf("task").size(), 1U);
  EXPECT_NE(runsOf("task")[0].Worker, FirstRun.Worker);
}

// Guards against repeating a task whose success is reported only after its run
// was taken for lost.
TEST_F(ShardSchedulerTest, acceptsTheLateSuccessOfALostRun) {
  addWorkers(1, 1);
  addJob("task", {0, 1, 1});
  Scheduler.schedule(at(0));
  const auto LostRun = runsOf("task").at(0);
  Scheduler.runLost(LostRun.Id, at(100));
  Scheduler.runEnded(LostRun.Id, RunOutcome::Succeeded, {}, at(200));
  EXPECT_EQ(Scheduler.job("task")->Progress.State, JobState::Completed);
}

// Guards against starting a task again although its success is known: the run
// was taken for lost and replaced, but the new one has not been sent yet.
TEST_F(ShardSchedulerTest, lateSuccessReplacesARunThatWasNotSent) {
  addWorkers(1, 2);
  addJob("gang", {0, 2, 8, true});
  Scheduler.schedule(at(0));
  for (const auto &LostRun : runsOf("gang"))
    Scheduler.runStartSent(LostRun.Id);
  for (const auto &LostRun : runsOf("gang"))
    Scheduler.runLost(LostRun.Id, at(100));
  Scheduler.schedule(at(100));
  ASSERT_EQ(runsOf("gang").size(), 2U);
  Scheduler.takeStopDecisions();
  EXPECT_TRUE(Scheduler.runEnded({"gang", 0, 0, 1}, RunOutcome::Succeeded, {},
                                 at(200)));
  EXPECT_TRUE(Scheduler.runEnded({"gang", 0, 1, 1}, RunOutcome::Succeeded, {},
                                 at(200)));
  EXPECT_EQ(Scheduler.takeStopDecisions().size(), 2U);
  EXPECT_EQ(Scheduler.job("gang")->Progress.State, JobState::Completed);
}

// Guards against acknowledging a success after which the task was started
// again: the platform would count the second run as one too many.
TEST_F(ShardSchedulerTest, lateSuccessIsNotAcknowledgedAfterASecondStart) {
  addWorkers(1, 1);
  addJob("task", {0, 1, 1});
  Scheduler.schedule(at(0));
  Scheduler.runStartSent({"task", 0, 0, 1});
  Scheduler.runLost({"task", 0, 0, 1}, at(100));
  Scheduler.schedule(at(100));
  Scheduler.runStartSent({"task", 0, 0, 2});
  EXPECT_FALSE(Scheduler.runEnded({"task", 0, 0, 1}, RunOutcome::Succeeded, {},
                                  at(200)));
  EXPECT_TRUE(Scheduler.runEnded({"task", 0, 0, 2}, RunOutcome::Succeeded, {},
                                 at(300)));
  EXPECT_EQ(Scheduler.job("task")->Progress.State, JobState::Completed);
  EXPECT_FALSE(Scheduler.runEnded({"task", 0, 0, 1}, RunOutcome::Succeeded, {},
                                  at(400)));
}

// Guards against a job that waits for a repeated run although its success is
// known: only the acknowledgement of the late end must be withheld.
TEST_F(ShardSchedulerTest, withheldSuccessHoldsBackTheNextStep) {
  addWorkers(1, 2);
  auto Job = jobSpec("job", {1, 1, 8});
  Job.Steps.push_back(Job.Steps[0]);
  Job.Steps[1].After = {0};
  Scheduler.addJob(Job, {}, at(0));
  Scheduler.schedule(at(0));
  Scheduler.runStartSent({"job", 0, 0, 1});
  Scheduler.runLost({"job", 0, 0, 1}, at(100));
  Scheduler.schedule(at(100));
  Scheduler.runStartSent({"job", 0, 0, 2});
  EXPECT_FALSE(
      Scheduler.runEnded({"job", 0, 0, 1}, RunOutcome::Succeeded, {}, at(200)));
  Scheduler.schedule(at(200));
  EXPECT_NE(Scheduler.run({"job", 1, 0, 1}), nullptr);
}

// Guards against more attempts than the job's limit: a failure counts although
// it is reported only after the task was started again.
TEST_F(ShardSchedulerTest, lateFailureCountsAsAnAttempt) {
  addWorkers(1, 1);
  addJob("task", {0, 1, 1});
  Scheduler.schedule(at(0));
  Scheduler.runLost({"task", 0, 0, 1}, at(100));
  Scheduler.schedule(at(100));
  Scheduler.runEnded({"task", 0, 0, 1}, RunOutcome::Failed, {}, at(200));
  EXPECT_FALSE(isFinal(Scheduler.job("task")->Progress.State));
  Scheduler.runEnded({"task", 0, 0, 2}, RunOutcome::Failed, {}, at(300));
  EXPECT_EQ(Scheduler.job("task")->Progress.State, JobState::Failed);
}

// Checks random sequences of job submissions, starts, ends, losses and
// cancellations: no worker is overloaded, no task has two live runs, no step
// starts before its predecessors are done, no final job gets a new run, and a
// run that has ended cannot be looked up.
RC_GTEST_PROP(ShardSchedulerProperty, keepsPlacementInvariants, ()) {
  ShardScheduler Scheduler;
  std::set<RunId> SeenRuns;
  std::set<RunId> LiveRuns;
  std::int64_t Ms = 0;
  int NextJob = 0;
  for (int Number = 0; Number < 6; ++Number)
    Scheduler.updateWorker(workerReport("w" + std::to_string(Number),
                                        "r" + std::to_string(Number / 3)),
                           at(0));
  const auto Steps = *rc::gen::inRange(20, 80);
  for (int Step = 0; Step < Steps; ++Step) {
    Ms += *rc::gen::inRange(1, 400);
    std::vector<RunId> Ids;
    for (const auto &[Id, LiveRun] : Scheduler.runs())
      Ids.push_back(Id);
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
    case 1: {
      auto Job =
          jobSpec("j" + std::to_string(NextJob++),
                  {static_cast<std::uint32_t>(*rc::gen::inRange(0, 3)),
                   static_cast<std::uint32_t>(*rc::gen::inRange(1, 5)),
                   *rc::gen::element<std::int64_t>(1, 2, 4, 8),
                   *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()});
      auto SecondStep = Job.Steps[0];
      SecondStep.After = {0};
      Job.Steps.push_back(SecondStep);
      Scheduler.addJob(Job, {}, at(Ms));
      break;
    }
    case 2:
    case 3:
    case 4:
      if (!Ids.empty()) {
        const auto Id = *rc::gen::elementOf(Ids);
        Scheduler.runStarted(Id, at(Ms));
        const auto Outcome = *rc::gen::element(
            RunOutcome::Succeeded, RunOutcome::Succeeded, RunOutcome::Failed,
            RunOutcome::Stopped, RunOutcome::LeaseExpired);
        Scheduler.runEnded(Id, Outcome, {}, at(Ms));
      }
      break;
    case 5:
      if (!Ids.empty())
        Scheduler.runLost(*rc::gen::elementOf(Ids), at(Ms));
      break;
    case 6:
      if (NextJob > 0)
        Scheduler.cancelJob("j" + std::to_string(*rc::gen::inRange(0, NextJob)),
                            at(Ms));
      break;
    }
    Scheduler.schedule(at(Ms));
    LiveRuns.clear();
    std::set<std::pair<std::string, std::pair<std::uint32_t, std::uint32_t>>>
        Tasks;
    std::map<std::string, Resources> Used;
    for (const auto &[Id, LiveRun] : Scheduler.runs()) {
      const auto *Job = Scheduler.job(Id.Job);
      RC_ASSERT(Tasks.insert({Id.Job, {Id.Step, Id.Index}}).second);
      Used[LiveRun.Worker] += Job->Spec.Steps[Id.Step].Need;
      LiveRuns.insert(Id);
      if (!SeenRuns.insert(Id).second)
        continue;
      for (const auto Predecessor : Job->Spec.Steps[Id.Step].After)
        for (const auto &Task : Job->Progress.Steps[Predecessor])
          RC_ASSERT(Task.Done);
      RC_ASSERT(!isFinal(Job->Progress.State));
    }
    for (const auto &[Id, Sum] : Used)
      RC_ASSERT(Scheduler.worker(Id)->Report.Capacity.covers(Sum));
    for (const auto &Id : Ids)
      if (!LiveRuns.contains(Id))
        RC_ASSERT(Scheduler.run(Id) == nullptr);
  }
}

} // namespace
} // namespace jayramp::scheduling
