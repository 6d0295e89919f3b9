#include "Jobs/JobScheduler.h"
#include "ExactPacking.h"
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

// RapidCheck prints its seed at the start; RC_PARAMS="seed=N" repeats a run.
const int ConfiguredRuns =
    setenv("RC_PARAMS", "max_success=3000 max_size=200", 0);

auto smallTopology(std::uint32_t Zones, std::uint32_t Racks,
                   std::uint32_t Workers, std::uint32_t Accelerators)
    -> Topology {
  std::vector<WorkerDescription> List;
  for (std::uint32_t Zone = 0; Zone < Zones; ++Zone)
    for (std::uint32_t Rack = 0; Rack < Racks; ++Rack)
      for (std::uint32_t Worker = 0; Worker < Workers; ++Worker)
        List.push_back({"w" + std::to_string(List.size() + 10), "r",
                        "z" + std::to_string(Zone), "k" + std::to_string(Rack),
                        Accelerators});
  return Topology::make(std::move(List)).value();
}

auto accountsFor(std::uint32_t Choice, const Topology &Installed)
    -> std::vector<AccountPolicy> {
  std::vector<AccountPolicy> Accounts{
      {"a", {{1 + Choice % 6, 1 + Choice % 2}}, 0},
      {"b", {{1 + Choice / 6 % 4, 1 + Choice / 24 % 3}}, 0},
      {"c", {}, 5}};
  if (!GuaranteeCheck::checkAccounts(Installed, Accounts))
    Accounts[1].Guarantees.clear();
  if (!GuaranteeCheck::checkAccounts(Installed, Accounts))
    Accounts[0].Guarantees.clear();
  return Accounts;
}

// Guards against a gang that is placed in part or twice, a reclaim that stops
// too much or too little, and a guarantee that cannot be reclaimed or is
// reported as degraded although it fits.
RC_GTEST_PROP(JobSchedulerTest, keepsGuaranteesInAnySequence, ()) {
  const auto Installed =
      smallTopology(*rc::gen::inRange(1U, 3U), *rc::gen::inRange(1U, 3U),
                    *rc::gen::inRange(1U, 4U), *rc::gen::inRange(1U, 5U));
  JobSchedulerModel Checked(Installed,
                            accountsFor(*rc::gen::inRange(0U, 72U), Installed));
  const auto Steps = *rc::gen::container<
      std::vector<std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>>>(
      rc::gen::tuple(rc::gen::inRange(0U, 15U), rc::gen::inRange(0U, 1000U),
                     rc::gen::inRange(0U, 1000U)));
  for (const auto &[Kind, Left, Right] : Steps)
    Checked.step(Kind, Left, Right);
}

// Runs after the property above, in the order of definition.
TEST(JobSchedulerTest, randomSequencesReachEveryCase) {
  std::cout << "steps=" << Reached.Steps << " starts=" << Reached.Starts
            << " guaranteed=" << Reached.GuaranteedStarts
            << " victims=" << Reached.Victims << " probes=" << Reached.Probes
            << " degraded=" << Reached.Degraded
            << " exact_checks=" << Reached.ExactChecks
            << " quarantines=" << Reached.Quarantines << '\n';
  EXPECT_GT(Reached.Starts, 1000U);
  EXPECT_GT(Reached.GuaranteedStarts, 1000U);
  EXPECT_GT(Reached.Victims, 100U);
  EXPECT_GT(Reached.Probes, 1000U);
  EXPECT_GT(Reached.ExactChecks, 100U);
  EXPECT_GT(Reached.Quarantines, 0U);
  EXPECT_GT(Reached.AccountChanges, 100U);
  EXPECT_GT(Reached.TopologyChanges, 100U);
}

// Documented baseline: an admission that compares only sums. It must break a
// guarantee, which shows that the property above can fail at all.
TEST(JobSchedulerTest, admissionBySumsBreaksGuarantees) {
  const bool Held = rc::check("sums keep shapes", [] {
    const auto Installed = smallTopology(1, 1, 2, 4);
    // Account a is guaranteed one shape of 4, account b four of 1.
    std::vector<std::uint8_t> Open(8, 1);
    std::vector<std::uint32_t> Gangs;
    const auto Steps =
        *rc::gen::container<std::vector<std::pair<bool, std::uint32_t>>>(
            rc::gen::pair(rc::gen::arbitrary<bool>(),
                          rc::gen::inRange(0U, 8U)));
    for (const auto &[Start, At] : Steps) {
      if (Start && Gangs.size() < 4 && Open[At] != 0) {
        // As a sum this is always right: 8 - used >= 4 + (4 - used).
        Open[At] = 0;
        Gangs.push_back(At);
      } else if (!Start && !Gangs.empty()) {
        Open[Gangs.back()] = 1;
        Gangs.pop_back();
      }
      std::vector<std::uint32_t> Unused{4};
      Unused.insert(Unused.end(), 4 - Gangs.size(), 1);
      RC_ASSERT(ExactPacking(Installed, Open).fits(Unused));
    }
  });
  EXPECT_FALSE(Held);
}

TEST(JobSchedulerTest, explainsWhyAJobWaitsAndIgnoresOldUsage) {
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

// Guards against a final rejection by a topology of which a part is not known
// yet, for example right after a takeover.
TEST(JobSchedulerTest, rejectsNothingWhileTheTopologyIsNotComplete) {
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

TEST(JobSchedulerTest, failsAJobOnThreeWorkersAndQuarantinesABadWorker) {
  auto Scheduler =
      JobScheduler::make(smallTopology(1, 1, 4, 1), {{"a", {}, 0}});
  TimePoint Now{};
  const auto Fail = [&](const std::string &Job) {
    const auto Worker = Scheduler.placement(Job).front().Worker;
    const auto Attempt = Scheduler.findJob(Job)->Attempt;
    Scheduler.recordTaskEnd({Job, Attempt, Worker, TaskResult::Failed}, Now);
    Scheduler.recordGangStopped(Job, Attempt);
    return Worker;
  };
  ASSERT_TRUE(Scheduler.submit({"bad", "a", 1}, Now));
  std::set<std::string> Workers;
  for (int Try = 0; Try < 3; ++Try) {
    Scheduler.decide(Now);
    Workers.insert(Fail("bad"));
  }
  EXPECT_EQ(Workers.size(), 3U);
  const auto Last = Scheduler.decide(Now);
  const auto *End = std::get_if<EndJob>(&Last.back());
  ASSERT_NE(End, nullptr);
  EXPECT_EQ(End->Report.Reason, WaitReason::FailedOnDistinctWorkers);
  EXPECT_EQ(Scheduler.findJob("bad"), nullptr);
  std::string BadWorker;
  for (int Try = 0; Try < 3; ++Try) {
    const auto Id = "good" + std::to_string(Try);
    ASSERT_TRUE(Scheduler.submit({Id, "a", 1}, Now));
    Scheduler.decide(Now);
    BadWorker = Fail(Id);
    Scheduler.cancel(Id);
  }
  EXPECT_EQ(Scheduler.workerState(BadWorker), WorkerState::Quarantined);
  Now += Milliseconds(60'001);
  Scheduler.decide(Now);
  EXPECT_EQ(Scheduler.workerState(BadWorker), WorkerState::Live);
}

// Guards against a small job stream that keeps a large job waiting forever.
TEST(JobSchedulerTest, smallJobsThatPassALargeOneGiveWay) {
  SchedulerPolicy Policy;
  Policy.PassingLimit = Milliseconds(10'000);
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

// Guards against a takeover that loses a placement or a guarantee.
TEST(JobSchedulerTest, restoresRunningJobsFromTheirRows) {
  const auto Installed = smallTopology(1, 2, 2, 4);
  const std::vector<AccountPolicy> Accounts{{"a", {{4, 2}}, 0}, {"b", {}, 0}};
  auto Before = JobScheduler::make(Installed, Accounts);
  const TimePoint Now{};
  ASSERT_TRUE(Before.submit({"g", "a", 4, JobPriority::Guaranteed, true}, Now));
  ASSERT_TRUE(Before.submit({"s", "b", 3}, Now));
  Before.decide(Now);
  auto After = JobScheduler::make(Installed, Accounts);
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
