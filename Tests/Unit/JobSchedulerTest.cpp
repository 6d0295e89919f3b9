#include "Jobs/JobScheduler.h"
#include "ExhaustivePacker.h"
#include "JobSchedulerModel.h"

#include "Jobs/BlockFinder.h"
#include "Jobs/GuaranteeCheck.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <numeric>
#include <optional>
#include <set>

namespace jayramp {
namespace {

// RapidCheck prints its seed when it starts; RC_PARAMS="seed=N" repeats a run.
const int RapidCheckConfigured =
    setenv("RC_PARAMS", "max_success=3000 max_size=200", 0);

auto smallTopology(std::uint32_t Zones, std::uint32_t Racks,
                   std::uint32_t Workers, std::uint32_t Accelerators)
    -> Topology {
  std::vector<WorkerDescription> Descriptions;
  for (std::uint32_t Zone = 0; Zone < Zones; ++Zone)
    for (std::uint32_t Rack = 0; Rack < Racks; ++Rack)
      for (std::uint32_t Worker = 0; Worker < Workers; ++Worker)
        Descriptions.push_back({"w" + std::to_string(Descriptions.size() + 10),
                                "r", "z" + std::to_string(Zone),
                                "k" + std::to_string(Rack), Accelerators});
  return Topology::make(std::move(Descriptions)).value();
}

auto accountsFor(std::uint32_t Variant, const Topology &Cluster)
    -> std::vector<AccountPolicy> {
  std::vector<AccountPolicy> Accounts{
      {"a", {{1 + Variant % 6, 1 + Variant % 2}}, 0},
      {"b", {{1 + Variant / 6 % 4, 1 + Variant / 24 % 3}}, 0},
      {"c", {}, 5}};
  if (!GuaranteeCheck::checkAccounts(Cluster, Accounts))
    Accounts[1].Guarantees.clear();
  if (!GuaranteeCheck::checkAccounts(Cluster, Accounts))
    Accounts[0].Guarantees.clear();
  return Accounts;
}

// Guards against placing a gang partially or twice, against a reclaim that
// stops too many or too few gangs, and against a guarantee that cannot be
// reclaimed or is reported as degraded although it fits.
RC_GTEST_PROP(JobSchedulerTest, keepsGuaranteesInAnySequenceOfEvents, ()) {
  const auto Cluster =
      smallTopology(*rc::gen::inRange(1U, 3U), *rc::gen::inRange(1U, 3U),
                    *rc::gen::inRange(1U, 4U), *rc::gen::inRange(1U, 5U));
  JobSchedulerModel Model(Cluster,
                          accountsFor(*rc::gen::inRange(0U, 72U), Cluster));
  const auto Steps = *rc::gen::container<
      std::vector<std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>>>(
      rc::gen::tuple(rc::gen::inRange(0U, 15U), rc::gen::inRange(0U, 1000U),
                     rc::gen::inRange(0U, 1000U)));
  for (const auto &[EventKind, RandomValue, OtherRandomValue] : Steps)
    Model.step(EventKind, RandomValue, OtherRandomValue);
}

// Guards against random sequences that miss a case, so that the property above
// checks nothing. GoogleTest runs it after that property, in the order of
// definition.
TEST(JobSchedulerTest, randomSequencesCoverEveryCase) {
  std::cout << "steps=" << Covered.Steps << " starts=" << Covered.Starts
            << " guaranteed=" << Covered.GuaranteedStarts
            << " victims=" << Covered.Victims
            << " probes=" << Covered.ReclaimProbes
            << " degraded=" << Covered.Degraded
            << " exact_checks=" << Covered.ExactChecks
            << " quarantines=" << Covered.Quarantines << '\n';
  EXPECT_GT(Covered.Starts, 1000U);
  EXPECT_GT(Covered.GuaranteedStarts, 1000U);
  EXPECT_GT(Covered.Victims, 100U);
  EXPECT_GT(Covered.ReclaimProbes, 1000U);
  EXPECT_GT(Covered.ExactChecks, 100U);
  EXPECT_GT(Covered.Quarantines, 0U);
  EXPECT_GT(Covered.AccountChanges, 100U);
  EXPECT_GT(Covered.TopologyChanges, 100U);
}

// Shows that the property above can fail: an admission that compares only sums
// of accelerators must break a guarantee.
TEST(JobSchedulerTest, admissionThatComparesSumsBreaksGuarantees) {
  const bool GuaranteesKept =
      rc::check("an admission by sums keeps all guarantees", [] {
        const auto Cluster = smallTopology(1, 1, 2, 4);
        // Account a has a guarantee of one shape of 4 accelerators, account b
        // of four shapes of 1.
        std::vector<std::uint8_t> IsFree(8, 1);
        std::vector<std::uint32_t> Gangs;
        const auto Steps =
            *rc::gen::container<std::vector<std::pair<bool, std::uint32_t>>>(
                rc::gen::pair(rc::gen::arbitrary<bool>(),
                              rc::gen::inRange(0U, 8U)));
        for (const auto &[Start, At] : Steps) {
          if (Start && Gangs.size() < 4 && IsFree[At] != 0) {
            // The sums always hold: 8 - used >= 4 + (4 - used).
            IsFree[At] = 0;
            Gangs.push_back(At);
          } else if (!Start && !Gangs.empty()) {
            IsFree[Gangs.back()] = 1;
            Gangs.pop_back();
          }
          std::vector<std::uint32_t> Unused{4};
          Unused.insert(Unused.end(), 4 - Gangs.size(), 1);
          RC_ASSERT(ExhaustivePacker(Cluster, IsFree).fits(Unused));
        }
      });
  EXPECT_FALSE(GuaranteesKept);
}

// Guards against a waiting job without a reason and remedy, and against usage
// reports of an earlier placement.
TEST(JobSchedulerTest, explainsWhyAJobWaitsAndIgnoresOutdatedUsage) {
  auto Scheduler = JobScheduler::make(smallTopology(1, 1, 1, 2),
                                      {{"a", {{1, 1}}, 0}, {"b", {}, 1}});
  const TimePoint Start{Milliseconds(5000)};
  ASSERT_TRUE(Scheduler.submit({"1", "b", 1, JobPriority::Surplus}, Start));
  ASSERT_TRUE(Scheduler.submit({"2", "b", 1, JobPriority::Surplus}, Start));
  Scheduler.decide(Start);
  EXPECT_EQ(Scheduler.waitReport("1")->Reason, WaitReason::None);
  EXPECT_EQ(Scheduler.waitReport("2")->Reason, WaitReason::OverQuota);
  EXPECT_FALSE(Scheduler.waitReport("2")->Remedy.empty());
  const auto Worker = Scheduler.placement("1").front().Worker;
  EXPECT_FALSE(
      Scheduler.reportUsage({"1", Worker, Start - Milliseconds(1), 1.0}));
  EXPECT_TRUE(Scheduler.reportUsage({"1", Worker, Start, 1.0}));
  EXPECT_FALSE(Scheduler.submit({"3", "b", 2, JobPriority::Surplus}, Start));
  Scheduler.markWorkerLost(Worker);
  ASSERT_EQ(Scheduler.degradedGuarantees().size(), 1U);
  EXPECT_EQ(Scheduler.degradedGuarantees().front().Account, "a");
}

// Guards against rejecting a job for good while some workers are still unknown,
// for example right after a takeover.
TEST(JobSchedulerTest, rejectsNoJobWhileTheTopologyIsIncomplete) {
  auto Scheduler =
      JobScheduler::make(smallTopology(1, 1, 1, 2), {{"a", {}, 0}});
  RestoredJob Large;
  Large.Specification = {"1", "a", 4, JobPriority::Surplus};
  ASSERT_TRUE(Scheduler.restore(Large));
  Scheduler.setTopologyComplete(false);
  EXPECT_TRUE(Scheduler.decide(TimePoint{}).empty());
  Scheduler.setTopologyComplete(true);
  const auto Decisions = Scheduler.decide(TimePoint{});
  ASSERT_EQ(Decisions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<EndJob>(Decisions.front()));
}

// Guards against a faulty job that is retried without end, and against a faulty
// worker that keeps receiving jobs.
TEST(JobSchedulerTest, failsAJobAfterThreeWorkersAndQuarantinesAFaultyWorker) {
  auto Scheduler =
      JobScheduler::make(smallTopology(1, 1, 4, 1), {{"a", {}, 0}});
  TimePoint Now{};
  const auto FailFirstTask = [&](const std::string &Job) {
    const auto Worker = Scheduler.placement(Job).front().Worker;
    const auto Attempt = Scheduler.findJob(Job)->Attempt;
    Scheduler.recordTaskEnd({Job, Attempt, Worker, TaskResult::Failed}, Now);
    Scheduler.recordGangStopped(Job, Attempt);
    return Worker;
  };
  ASSERT_TRUE(Scheduler.submit({"bad", "a", 1}, Now));
  std::set<std::string> Workers;
  for (int Round = 0; Round < 3; ++Round) {
    Scheduler.decide(Now);
    Workers.insert(FailFirstTask("bad"));
  }
  EXPECT_EQ(Workers.size(), 3U);
  const auto FinalDecisions = Scheduler.decide(Now);
  const auto *End = std::get_if<EndJob>(&FinalDecisions.back());
  ASSERT_NE(End, nullptr);
  EXPECT_EQ(End->Report.Reason, WaitReason::FailedOnDistinctWorkers);
  EXPECT_EQ(Scheduler.findJob("bad"), nullptr);
  std::string FaultyWorker;
  for (int Round = 0; Round < 3; ++Round) {
    const auto Id = "good" + std::to_string(Round);
    ASSERT_TRUE(Scheduler.submit({Id, "a", 1}, Now));
    Scheduler.decide(Now);
    FaultyWorker = FailFirstTask(Id);
    Scheduler.cancel(Id);
  }
  EXPECT_EQ(Scheduler.workerState(FaultyWorker), WorkerState::Quarantined);
  Now += Milliseconds(60'001);
  Scheduler.decide(Now);
  EXPECT_EQ(Scheduler.workerState(FaultyWorker), WorkerState::Live);
}

// Guards against a stream of small jobs that starves a large one.
TEST(JobSchedulerTest, reclaimsSmallJobsThatStarveALargeOne) {
  SchedulerPolicy Policy;
  Policy.StarvationTimeout = Milliseconds(10'000);
  auto Scheduler =
      JobScheduler::make(smallTopology(1, 1, 1, 4), {{"a", {}, 0}}, Policy);
  TimePoint Now{};
  ASSERT_TRUE(Scheduler.submit({"old", "a", 1}, Now));
  Scheduler.decide(Now);
  ASSERT_TRUE(
      Scheduler.submit({"large", "a", 4, JobPriority::Surplus, true}, Now));
  Scheduler.decide(Now);
  Now += Milliseconds(11'000);
  ASSERT_TRUE(Scheduler.submit({"small", "a", 1}, Now));
  Scheduler.decide(Now);
  EXPECT_EQ(Scheduler.findJob("small")->Phase, JobPhase::Running);
  Scheduler.recordTaskEnd({"old", 1, Scheduler.placement("old").front().Worker,
                           TaskResult::Finished},
                          Now);
  Scheduler.decide(Now);
  EXPECT_EQ(Scheduler.findJob("large")->Phase, JobPhase::Reclaiming);
  EXPECT_EQ(Scheduler.findJob("small")->Phase, JobPhase::Stopping);
  Scheduler.recordGangStopped("small", 1);
  Scheduler.decide(Now);
  EXPECT_EQ(Scheduler.findJob("large")->Phase, JobPhase::Running);
}

// Guards against a scheduler takeover that loses a placement or a guarantee.
TEST(JobSchedulerTest, restoresRunningJobsFromStoredRows) {
  const auto Cluster = smallTopology(1, 2, 2, 4);
  const std::vector<AccountPolicy> Accounts{{"a", {{4, 2}}, 0}, {"b", {}, 0}};
  auto Before = JobScheduler::make(Cluster, Accounts);
  const TimePoint Now{};
  ASSERT_TRUE(Before.submit({"g", "a", 4, JobPriority::Guaranteed, true}, Now));
  ASSERT_TRUE(Before.submit({"s", "b", 3}, Now));
  Before.decide(Now);
  auto After = JobScheduler::make(Cluster, Accounts);
  for (const auto &Id : Before.jobIds()) {
    RestoredJob Row;
    Row.Specification = Before.findJob(Id)->Specification;
    Row.Attempt = Before.findJob(Id)->Attempt;
    Row.Placement = Before.placement(Id);
    ASSERT_TRUE(After.restore(Row));
  }
  EXPECT_TRUE(After.decide(Now).empty());
  for (const auto &Id : Before.jobIds()) {
    EXPECT_EQ(After.placement(Id), Before.placement(Id));
    EXPECT_EQ(After.findJob(Id)->Guaranteed, Before.findJob(Id)->Guaranteed);
  }
  EXPECT_TRUE(After.degradedGuarantees().empty());
}

} // namespace
} // namespace jayramp
