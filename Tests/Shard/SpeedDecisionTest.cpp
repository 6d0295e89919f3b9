#include "SchedulerFixture.h"

namespace jayramp::scheduling {
namespace {

/// Two racks: the workers of r0 are typical, those of r1 need 2.4 times as
/// long.
class SpeedDecisionTest : public SchedulerFixture {
protected:
  SpeedDecisionTest() {
    addWorkers(2, 2);
    Scheduler.setTimeFactors({{"w10", 2.4}, {"w11", 2.4}});
  }

  /// Adds an urgent gang that is late on slow workers.
  auto addUrgentGang(const std::string &Id, std::int64_t Ms) -> void {
    auto Job =
        jobSpec(Id, {.Priority = 0, .Count = 2, .Gpus = 4, .Gang = true});
    Job.Stretch = 1.5;
    Job.TargetLatency = Milliseconds(300);
    Scheduler.addJob(Job, {}, at(Ms));
  }
};

// Guards against urgent work on slow workers beside free fast ones.
TEST_F(SpeedDecisionTest, urgentGangTakesFastWorkers) {
  addUrgentGang("urgent", 0);
  Scheduler.schedule(at(0));
  EXPECT_EQ(racksOf("urgent"), std::set<std::string>{"r0"});
  const auto Decisions = Scheduler.takePlacementDecisions();
  ASSERT_EQ(Decisions.size(), 1U);
  EXPECT_EQ(Decisions[0].Speed, SpeedChoice::Deadline);
}

// Guards against work with slack on fast workers beside free slow ones, and
// against slow workers that stay idle.
TEST_F(SpeedDecisionTest, workWithSlackTakesSlowWorkersThenFastOnes) {
  addJob("batch", {.Priority = 2, .Count = 16});
  Scheduler.schedule(at(0));
  EXPECT_EQ(racksOf("batch"), std::set<std::string>{"r1"});
  addJob("more", {.Priority = 2, .Count = 16});
  Scheduler.schedule(at(10));
  EXPECT_EQ(racksOf("more"), std::set<std::string>{"r0"});
}

// Guards against an urgent gang that runs late on free slow workers although it
// could stop less urgent work on fast ones.
TEST_F(SpeedDecisionTest, urgentGangPreemptsOnFastWorkers) {
  addJob("batch", {.Priority = 2, .Count = 16});
  Scheduler.schedule(at(0));
  addJob("more", {.Priority = 2, .Count = 16});
  Scheduler.schedule(at(10));
  confirmStarts(20);
  for (const auto &LiveRun : runsOf("batch"))
    Scheduler.runEnded(LiveRun.Id, RunOutcome::Succeeded, {}, at(100));
  addUrgentGang("urgent", 100);
  Scheduler.schedule(at(100));
  EXPECT_TRUE(runsOf("urgent").empty());
  const auto Stops = Scheduler.takeStopDecisions();
  ASSERT_EQ(Stops.size(), 8U);
  for (const auto &Stop : Stops)
    Scheduler.runEnded(Stop.Run, RunOutcome::Stopped, {}, at(300));
  Scheduler.schedule(at(300));
  EXPECT_EQ(racksOf("urgent"), std::set<std::string>{"r0"});
}

// Guards against urgent work that waits beside idle slow workers for longer
// than the bound.
TEST_F(SpeedDecisionTest, waitForFastWorkersIsBounded) {
  addUrgentGang("first", 0);
  addUrgentGang("second", 0);
  Scheduler.schedule(at(0));
  ASSERT_EQ(racksOf("second"), std::set<std::string>{"r0"});
  auto Job = jobSpec("long", {.Priority = 0,
                              .Count = 2,
                              .Gpus = 4,
                              .Gang = true,
                              .Estimate = Milliseconds(20000)});
  Job.Stretch = 1.5;
  Scheduler.addJob(Job, {}, at(10));
  Scheduler.schedule(at(10));
  EXPECT_TRUE(runsOf("long").empty());
  const auto LongestMs = Scheduler.policy().MaxSpeedWait.count();
  Scheduler.schedule(at(10 + LongestMs));
  EXPECT_EQ(racksOf("long"), std::set<std::string>{"r1"});
}

// Guards against a reserve that counts slow workers, on which urgent arrivals
// would be late, and against less urgent work kept from them.
TEST_F(SpeedDecisionTest, reserveIsKeptOnFastWorkers) {
  addUrgentGang("urgent", 0);
  Scheduler.schedule(at(0));
  addJob("batch", {.Priority = 2, .Count = 24});
  Scheduler.schedule(at(10));
  EXPECT_EQ(racksOf("batch"), std::set<std::string>{"r1"});
  EXPECT_EQ(runsOf("batch").size(), 16U);
}

// Guards against a gang with one slow member beside alike workers with room.
TEST_F(SpeedDecisionTest, gangIsPlacedOnAlikeWorkers) {
  addJob("small", {.Priority = 2, .Count = 4});
  Scheduler.schedule(at(0));
  ASSERT_EQ(racksOf("small"), std::set<std::string>{"r1"});
  addJob("gang", {.Priority = 1, .Count = 4, .Gpus = 4, .Gang = true});
  Scheduler.schedule(at(10));
  EXPECT_EQ(racksOf("gang"), std::set<std::string>{"r0"});
}

} // namespace
} // namespace jayramp::scheduling
