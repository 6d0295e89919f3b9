#include "SchedulerFixture.h"

#include <rapidcheck/gtest.h>

namespace jayramp::scheduling {
namespace {

class ShardSchedulerTest : public SchedulerFixture {};

// Guards against urgent gangs that find no free rack because small tasks lie
// everywhere.
TEST_F(ShardSchedulerTest, fillsOneRackBeforeTheNext) {
  addWorkers(3, 2);
  for (int Number = 0; Number < 16; ++Number)
    add("j" + std::to_string(Number), {2, 1, 1});
  Scheduler.schedule(at(0));
  std::set<std::string> Racks;
  for (const auto &[Id, Alive] : Scheduler.runs())
    Racks.insert(Scheduler.worker(Alive.Worker)->Report.Rack);
  EXPECT_EQ(Racks.size(), 1U);
}

TEST_F(ShardSchedulerTest, keepsAGangInOneRack) {
  addWorkers(2, 2);
  add("small", {2, 1, 1});
  Scheduler.schedule(at(0));
  add("gang", {1, 2, 8, true, true});
  Scheduler.schedule(at(0));
  EXPECT_EQ(runsOf("gang").size(), 2U);
  EXPECT_EQ(racksOf("gang").size(), 1U);
}

// Guards against a gang that is started in part.
TEST_F(ShardSchedulerTest, placesAGangWholeOrNotAtAll) {
  addWorkers(1, 2);
  add("gang", {1, 3, 8, true});
  Scheduler.schedule(at(0));
  EXPECT_TRUE(runsOf("gang").empty());
}

// Guards against work thrown away: a member of a gang that is done stands still
// while it waits for slower members.
TEST_F(ShardSchedulerTest, aGangMemberThatIsDoneIsNotStalled) {
  addWorkers(1, 2);
  add("gang", {1, 2, 8, true});
  Scheduler.schedule(at(0));
  startAll(0);
  for (std::int64_t Ms = 100; Ms <= 6000; Ms += 500) {
    Scheduler.runProgressed({"gang", 0, 0, 1}, 100, {}, at(Ms));
    Scheduler.runProgressed({"gang", 0, 1, 1},
                            static_cast<std::uint32_t>(Ms / 100), {}, at(Ms));
    Scheduler.schedule(at(Ms));
  }
  EXPECT_TRUE(Scheduler.takeStopDecisions().empty());
}

TEST_F(ShardSchedulerTest, restartsATaskWithoutProgress) {
  addWorkers(1, 2);
  add("task", {1, 1, 8});
  Scheduler.schedule(at(0));
  startAll(0);
  Scheduler.runProgressed({"task", 0, 0, 1}, 10, {}, at(100));
  Scheduler.schedule(at(6000));
  const auto Stops = Scheduler.takeStopDecisions();
  ASSERT_EQ(Stops.size(), 1U);
  EXPECT_EQ(Stops[0].Reason, StopReason::Stalled);
}

// Replays a burst: urgent jobs arrive while less urgent work would fill all
// workers, so that each urgent job had to stop some of it first.
TEST_F(ShardSchedulerTest, leavesRoomForUrgentArrivalsDuringABurst) {
  addWorkers(2, 4);
  for (int Number = 0; Number < 6; ++Number) {
    const auto Name = std::to_string(Number);
    add("urgent" + Name, {0, 1, 4}, Number * 400);
    for (int Batch = 0; Batch < 3; ++Batch)
      add("batch" + Name + std::to_string(Batch),
          {2, 8, 1, false, false, Milliseconds(8000)}, Number * 400);
    Scheduler.schedule(at(Number * 400));
    EXPECT_EQ(runsOf("urgent" + Name).size(), 1U) << Number;
  }
  EXPECT_TRUE(Scheduler.takeStopDecisions().empty());
}

TEST_F(ShardSchedulerTest, usesTheReserveOnceAJobCannotWaitLonger) {
  addWorkers(1, 2);
  add("urgent", {0, 1, 8}, 0);
  Scheduler.schedule(at(0));
  add("batch", {2, 1, 8, false, false, Milliseconds(1000)}, 0);
  Scheduler.schedule(at(10));
  EXPECT_TRUE(runsOf("batch").empty());
  Scheduler.schedule(at(2500));
  EXPECT_EQ(runsOf("batch").size(), 1U);
}

// Guards against a small urgent job that costs much more than it gains.
TEST_F(ShardSchedulerTest, stopsNoWorkOutOfProportion) {
  addWorkers(1, 1);
  add("long", {1, 1, 8, false, false, Milliseconds(60000)});
  Scheduler.schedule(at(0));
  startAll(0);
  Scheduler.runProgressed({"long", 0, 0, 1}, 50, {}, at(29900));
  add("urgent", {0, 1, 1, false, false, Milliseconds(100)}, 30000);
  Scheduler.schedule(at(30000));
  EXPECT_TRUE(Scheduler.takeStopDecisions().empty());
}

TEST_F(ShardSchedulerTest, stopsYoungWorkForAnUrgentJob) {
  addWorkers(1, 1);
  add("batch", {1, 1, 8});
  Scheduler.schedule(at(0));
  startAll(0);
  add("urgent", {0, 1, 8}, 200);
  Scheduler.schedule(at(200));
  const auto Stops = Scheduler.takeStopDecisions();
  ASSERT_EQ(Stops.size(), 1U);
  EXPECT_EQ(Stops[0].Reason, StopReason::Preempted);
  EXPECT_EQ(Stops[0].PreemptingJob, "urgent");
  // The room is free only when the end is listed.
  EXPECT_TRUE(runsOf("urgent").empty());
  Scheduler.runEnded(Stops[0].Run, RunOutcome::Stopped, {}, at(400));
  Scheduler.schedule(at(400));
  EXPECT_EQ(runsOf("urgent").size(), 1U);
}

// Guards against a guarantee that is not given back in time, whatever is lost.
TEST_F(ShardSchedulerTest, givesAGuaranteeBackAtAnyLoss) {
  addWorkers(1, 1);
  Scheduler.setGuarantees({{"owner", 8}});
  add("long", {0, 1, 8, false, false, Milliseconds(60000), "guest"});
  Scheduler.schedule(at(0));
  startAll(0);
  Scheduler.runProgressed({"long", 0, 0, 1}, 50, {}, at(29900));
  add("guaranteed", {0, 1, 1, false, false, Milliseconds(100), "owner"}, 30000);
  Scheduler.schedule(at(30000));
  EXPECT_TRUE(Scheduler.takeStopDecisions().empty());
  Scheduler.schedule(at(31300));
  EXPECT_EQ(Scheduler.takeStopDecisions().size(), 1U);
}

TEST_F(ShardSchedulerTest, spreadsAnUrgentGangThatNoRackCanTakeInTime) {
  addWorkers(2, 2);
  for (const auto *Id : {"a", "b", "c", "d"})
    add(Id, {0, 1, 8});
  Scheduler.schedule(at(0));
  // One worker of each rack becomes free.
  std::set<std::string> FreeRacks;
  for (const auto *Id : {"a", "b", "c", "d"}) {
    const auto Rack = *racksOf(Id).begin();
    if (FreeRacks.insert(Rack).second)
      Scheduler.runEnded(runsOf(Id).at(0).Id, RunOutcome::Succeeded, {},
                         at(100));
  }
  add("gang", {0, 2, 8, true, true}, 100);
  Scheduler.schedule(at(100));
  EXPECT_TRUE(runsOf("gang").empty());
  startAll(100);
  // Neither task stands still meanwhile.
  for (const auto &[Id, Alive] : Scheduler.runs())
    Scheduler.runProgressed(Id, 50, {}, at(1500));
  Scheduler.schedule(at(1500));
  EXPECT_TRUE(runsOf("gang").empty());
  Scheduler.schedule(at(100 + SchedulingPolicy{}.MaxSameRackWait.count()));
  EXPECT_EQ(racksOf("gang").size(), 2U);
}

// Guards against tasks that go to a worker that does not answer, over and over.
TEST_F(ShardSchedulerTest, placesNothingOnAWorkerThatDoesNotAnswer) {
  addWorkers(1, 1);
  Scheduler.setReachable("w00", false);
  add("task", {0, 1, 1});
  Scheduler.schedule(at(0));
  EXPECT_TRUE(runsOf("task").empty());
}

// Guards against work that is lost with a worker that said when it leaves.
TEST_F(ShardSchedulerTest, movesATaskThatWouldNotEndBeforeItsWorkerLeaves) {
  addWorkers(1, 2);
  add("long", {1, 1, 8, false, false, Milliseconds(10000)});
  add("short", {1, 1, 8, false, false, Milliseconds(10000)});
  Scheduler.schedule(at(0));
  startAll(0);
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

// Guards against tasks that follow each other onto a worker where work stands
// still.
TEST_F(ShardSchedulerTest, avoidsAWorkerOnWhichATaskStoodStill) {
  addWorkers(1, 2);
  add("task", {1, 1, 8});
  Scheduler.schedule(at(0));
  startAll(0);
  const auto Stuck = runsOf("task").at(0);
  Scheduler.schedule(at(3000));
  Scheduler.runEnded(Stuck.Id, RunOutcome::Stopped, {}, at(3300));
  Scheduler.schedule(at(3300));
  ASSERT_EQ(runsOf("task").size(), 1U);
  EXPECT_NE(runsOf("task")[0].Worker, Stuck.Worker);
}

// Guards against attempts that are used up on one bad worker.
TEST_F(ShardSchedulerTest, triesAFailedTaskOnAnotherWorker) {
  addWorkers(1, 2);
  add("task", {0, 1, 1});
  Scheduler.schedule(at(0));
  const auto First = runsOf("task").at(0);
  Scheduler.runStarted(First.Id, at(0));
  Scheduler.runEnded(First.Id, RunOutcome::Failed, {}, at(100));
  Scheduler.schedule(at(100));
  ASSERT_EQ(runsOf("task").size(), 1U);
  EXPECT_NE(runsOf("task")[0].Worker, First.Worker);
}

// Guards against a task that is done again after a listed end came late.
TEST_F(ShardSchedulerTest, aLateListedEndOfALostRunCounts) {
  addWorkers(1, 1);
  add("task", {0, 1, 1});
  Scheduler.schedule(at(0));
  const auto Lost = runsOf("task").at(0);
  Scheduler.runLost(Lost.Id, at(100));
  Scheduler.runEnded(Lost.Id, RunOutcome::Succeeded, {}, at(200));
  EXPECT_EQ(Scheduler.job("task")->Progress.State, JobState::Completed);
}

// Random histories: starts, ends, losses, cancels and changes of workers never
// exceed a worker, run a task twice, start a step early or give a run number
// out again.
RC_GTEST_PROP(ShardSchedulerProperty, keepsItsPromises, ()) {
  ShardScheduler Scheduler;
  std::set<RunId> EverSeen;
  std::set<RunId> Alive;
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
    for (const auto &[Id, Each] : Scheduler.runs())
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
      auto Second = Job.Steps[0];
      Second.After = {0};
      Job.Steps.push_back(Second);
      Scheduler.addJob(Job, {}, at(Ms));
      break;
    }
    case 2:
    case 3:
    case 4:
      if (!Ids.empty()) {
        const auto Id = *rc::gen::elementOf(Ids);
        Scheduler.runStarted(Id, at(Ms));
        const auto How = *rc::gen::element(
            RunOutcome::Succeeded, RunOutcome::Succeeded, RunOutcome::Failed,
            RunOutcome::Stopped, RunOutcome::LeaseExpired);
        Scheduler.runEnded(Id, How, {}, at(Ms));
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
    Alive.clear();
    std::set<std::pair<std::string, std::pair<std::uint32_t, std::uint32_t>>>
        Tasks;
    std::map<std::string, Resources> Used;
    for (const auto &[Id, Each] : Scheduler.runs()) {
      const auto *Job = Scheduler.job(Id.Job);
      RC_ASSERT(Tasks.insert({Id.Job, {Id.Step, Id.Index}}).second);
      Used[Each.Worker] += Job->Spec.Steps[Id.Step].Need;
      Alive.insert(Id);
      if (!EverSeen.insert(Id).second)
        continue;
      for (const auto Earlier : Job->Spec.Steps[Id.Step].After)
        for (const auto &Task : Job->Progress.Steps[Earlier])
          RC_ASSERT(Task.Done);
      RC_ASSERT(!isFinal(Job->Progress.State));
    }
    for (const auto &[Id, Sum] : Used)
      RC_ASSERT(Scheduler.worker(Id)->Report.Capacity.covers(Sum));
    for (const auto &Id : Ids)
      if (!Alive.contains(Id))
        RC_ASSERT(Scheduler.run(Id) == nullptr);
  }
}

} // namespace
} // namespace jayramp::scheduling
