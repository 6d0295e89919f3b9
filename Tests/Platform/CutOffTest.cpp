// Real entry hosts while workers are cut off for longer than their leases and
// complete tasks meanwhile. JAYRAMP_SEED repeats a run; README.md names the
// other variables.
#include "RestartPlan.h"
#include "StageTest.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <random>
#include <set>
#include <vector>

namespace jayramp::platform_test {
namespace {

using Entry = review::RunHistory::Entry;

constexpr unsigned WorkerCount =
    OutageStage::RackCount * OutageStage::WorkersPerRack;
constexpr unsigned GpusPerWorker = 8;
constexpr std::int64_t PollIntervalMs = 50;
/// Longer than the leases of 5 s with the inaccuracy of clocks, and than the
/// time until the tasks have started again elsewhere.
constexpr std::int64_t CutMs = 7000;
/// Of each rack, all workers but one.
constexpr unsigned CutPerRack = OutageStage::WorkersPerRack - 1;
/// Until the hosts have heard of all workers.
constexpr std::int64_t ReturnMs = 1000;
/// Until all hosts accept jobs again.
constexpr std::int64_t RecoveryMs = 4000;
/// From the end of the cut: the recovery and the time that a job may wait by
/// rule LOST, 4 s and 3 s, and some time for the check.
constexpr std::int64_t CheckedMs = 9000;
/// Accelerators of a batch: the most that leave half of the pool free beside a
/// small task on each worker.
constexpr unsigned BatchGpus =
    WorkerCount * GpusPerWorker / 2 - WorkerCount - 1;
/// So long that the workers that were not cut off hold only a part of the batch
/// until the check has ended.
constexpr std::int64_t BatchWorkMs = 9000;
/// Longer than the check.
constexpr std::int64_t LongWorkMs = 15000;
/// The long tasks, then two batches one after the other.
constexpr std::int64_t CompletionLimitMs = 35000;
constexpr std::uint64_t LayoutClient = 200;
constexpr std::uint64_t BurstClient = 100;
constexpr unsigned ClientCount = 2;

class CutOffTest : public StageTest {
protected:
  /// Runs until \p Holds is true of the runs of a job.
  auto runUntil(const std::string &Job,
                const std::function<bool(const std::vector<Entry> &)> &Holds)
      -> void {
    constexpr std::int64_t LimitMs = 10000;
    const auto UntilMs = Stage->elapsedMs() + LimitMs;
    while (!Holds(runsOf(Job))) {
      ASSERT_LT(Stage->elapsedMs(), UntilMs) << "job " << Job;
      Stage->run(PollIntervalMs);
    }
  }

  auto runsOf(const std::string &Job) -> std::vector<Entry> {
    auto Runs = Stage->platform().history().entries();
    std::erase_if(Runs, [&](const Entry &Run) {
      return !Run.Task.starts_with(Job + ".");
    });
    return Runs;
  }

  /// Gives each worker a short task. Tasks that leave room for one such task on
  /// each worker run first and have ended when this returns.
  auto giveEachWorkerAShortTask() -> void {
    const auto SpacerJob = jobId(LayoutClient, 2);
    submit(
        JobPlan::singleStep(SpacerJob, {WorkerCount, GpusPerWorker - 1, 3000}));
    ASSERT_NO_FATAL_FAILURE(runUntil(SpacerJob, [](const auto &Runs) {
      return Runs.size() == WorkerCount;
    }));
    submit(JobPlan::singleStep(ShortJob, {WorkerCount, 1, 5000}));
    ASSERT_NO_FATAL_FAILURE(runUntil(SpacerJob, [](const auto &Runs) {
      return std::ranges::all_of(
          Runs, [](const Entry &Run) { return Run.EndMs.has_value(); });
    }));
    ASSERT_EQ(workersThatRun(ShortJob), WorkerCount);
  }

  auto workersThatRun(const std::string &Job) -> std::size_t {
    std::set<std::string> Workers;
    for (const auto &Run : runsOf(Job))
      if (!Run.EndMs)
        Workers.insert(Run.Worker);
    return Workers.size();
  }

  /// Cuts most workers off while each completes a short task, which starts
  /// again on the others before the cut ends.
  auto cutOffWhileTasksEnd() -> void {
    WorkerCut Cut;
    Cut.Group.Name = "all workers but one of each rack";
    for (unsigned Worker = 0; Worker < WorkerCount; ++Worker)
      if (Worker % OutageStage::WorkersPerRack < CutPerRack)
        Cut.Group.Workers.push_back(Worker);
    Cut.CutMs = CutMs;
    RestartPlan Plan;
    Plan.Cuts = {Cut};
    ASSERT_NO_FATAL_FAILURE(start());
    ASSERT_NO_FATAL_FAILURE(giveEachWorkerAShortTask());
    const auto EndMs = Stage->elapsedMs() + CutMs;
    play(Plan, true, {});
    const auto Runs = runsOf(ShortJob);
    const auto Ended = std::ranges::count_if(Runs, [&](const Entry &Run) {
      return Run.How == "done" && Run.EndMs < EndMs;
    });
    std::cout << Ended << " tasks ended in the cut, "
              << Runs.size() - WorkerCount << " started again\n";
    ASSERT_EQ(Ended, WorkerCount);
    Stage->run(ReturnMs);
  }

  /// Submits jobs of one task, looks for idle room and ends the test.
  auto checkWithBatch(unsigned GpusPerTask) -> void {
    for (unsigned Job = 0; Job < BatchGpus / GpusPerTask; ++Job)
      submit(JobPlan::singleStep(jobId(LayoutClient, 100 + Job),
                                 {1, GpusPerTask, BatchWorkMs}));
    Stage->run(CheckedMs);
    expectAllCompleted(CompletionLimitMs);
    expectNoFindings();
  }

  /// Submits a long task for each worker, so that its list of ends is read all
  /// the time.
  auto submitLongTasks() -> void {
    StepPlan OnePerWorker{WorkerCount, 1, LongWorkMs};
    OnePerWorker.MaxTasksPerWorker = 1;
    submit(JobPlan::singleStep(LongJob, OnePerWorker));
  }

  /// Submits short tasks for many workers before each cut.
  auto sendBursts(const RestartPlan &Plan) -> void {
    const auto Between = [this](std::int64_t Least, std::int64_t Most) {
      return std::uniform_int_distribution(Least, Most)(BurstRandom);
    };
    const auto BeginMs = Stage->elapsedMs();
    std::uint64_t Number = 0;
    for (const auto &Cut : Plan.Cuts) {
      ++Number;
      sleepUntil(BeginMs + Cut.AtMs - Between(100, 1000));
      StepPlan Step{WorkerCount, static_cast<unsigned>(Between(1, 2)),
                    Between(1000, 4000)};
      Step.MaxTasksPerWorker = static_cast<unsigned>(Between(1, 3));
      Stage->jobs().submit(
          JobPlan::singleStep(jobId(BurstClient, Number), Step),
          Stage->callers(), Number);
    }
  }

  const std::string ShortJob = jobId(LayoutClient, 1);
  const std::string LongJob = jobId(LayoutClient, 3);
  std::mt19937_64 BurstRandom{Seed << 32U | BurstClient};
};

// Guards against idle workers that get no tasks, while accepted jobs wait,
// because a task that they completed while cut off was started again.
TEST_F(CutOffTest, workersThatEndedTasksWhileCutOffGetTasksAgain) {
  ASSERT_NO_FATAL_FAILURE(cutOffWhileTasksEnd());
  ASSERT_NO_FATAL_FAILURE(checkWithBatch(GpusPerWorker));
}

// The same for workers that got a task since, and have room for more. While
// they run it, their list of ends is read all the time.
TEST_F(CutOffTest, workersThatEndedTasksWhileCutOffGetTasksBesideOthers) {
  ASSERT_NO_FATAL_FAILURE(cutOffWhileTasksEnd());
  ASSERT_NO_FATAL_FAILURE(submitLongTasks());
  ASSERT_NO_FATAL_FAILURE(runUntil(
      LongJob, [](const auto &Runs) { return Runs.size() == WorkerCount; }));
  Stage->run(ReturnMs);
  ASSERT_NO_FATAL_FAILURE(checkWithBatch(GpusPerWorker / 2));
}

// Guards against accepted jobs that wait beside idle room, or run twice, after
// workers were cut off again and again, also with restarts and signals to
// hosts.
TEST_F(CutOffTest, jobsStandStillAfterWorkersWereCutOff) {
  std::mt19937_64 Random(Seed);
  const auto Plan = RestartPlan::randomCuts(Random, trafficMs(18));
  std::cout << Plan.describe();
  ASSERT_NO_FATAL_FAILURE(start());
  std::vector<Client> Clients;
  for (std::uint64_t Number = 1; Number <= ClientCount; ++Number)
    Clients.push_back(sender(Number, RandomJobs));
  Clients.emplace_back([&](const auto &) { sendBursts(Plan); });
  play(Plan, true, Clients);
  Stage->run(RecoveryMs);
  ASSERT_NO_FATAL_FAILURE(submitLongTasks());
  Stage->run(ReturnMs);
  ASSERT_NO_FATAL_FAILURE(checkWithBatch(GpusPerWorker / 2));
}

} // namespace
} // namespace jayramp::platform_test
