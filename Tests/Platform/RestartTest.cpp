// Real entry hosts while groups of workers restart under their ids and are cut
// off soon after. JAYRAMP_SEED repeats a run; README.md names the other
// variables.
#include "RestartPlan.h"
#include "StageTest.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>

namespace jayramp::platform_test {
namespace {

/// From the end of the faults until all jobs are completed: a lease of at most
/// 10 s, then a task of 11 s, and the rest for a task that waits for its room.
constexpr std::int64_t CompletionLimitMs = 30000;
constexpr unsigned SteadyClientCount = 2;
constexpr unsigned BurstClientCount = 4;
constexpr unsigned JobsPerBurst = 4;
/// So many that a worker runs one such task, beside smaller ones.
constexpr unsigned LoadGpus = 5;
constexpr std::int64_t LoadWorkMs = 9000;
/// Client number of the tasks that load all workers.
constexpr std::uint64_t LoadClient = 100;
/// How often a worker may lose its runs.
constexpr unsigned MaxRunLosses = 30;

class RestartTest : public StageTest {
protected:
  /// Gives each worker a task, so that the owner talks to all of them. They are
  /// given once: a worker has no room for two.
  auto loadAllWorkers() -> void {
    for (unsigned Rack = 0; Rack < OutageStage::RackCount; ++Rack) {
      auto Plan = JobPlan::rackFiller(jobId(LoadClient, Rack + 1),
                                      OutageStage::rackName(Rack),
                                      OutageStage::WorkersPerRack, LoadWorkMs);
      Plan.Steps[0].GpusPerTask = LoadGpus;
      submit(Plan);
    }
  }

  /// Submits jobs around each return of workers, so that starts are sent to
  /// them then.
  auto sendBursts(std::uint64_t Client, const RestartPlan &Plan) -> void {
    std::mt19937_64 Random(Seed << 32U | Client);
    std::uint64_t Number = 0;
    const auto BeginMs = Stage->elapsedMs();
    for (const auto &Each : Plan.Restarts) {
      sleepUntil(BeginMs + std::uniform_int_distribution(
                               Each.returnMs() - 150, Each.cutAtMs())(Random));
      for (unsigned Job = 0; Job < JobsPerBurst; ++Job)
        submitRandom(JobPlan::randomLong, jobId(Client, ++Number), Random);
    }
  }

  auto playWithTraffic(const RestartPlan &Plan) -> void {
    std::vector<Client> Clients;
    std::uint64_t Number = 0;
    while (Number < SteadyClientCount)
      Clients.push_back(sender(++Number, LongJobs));
    while (Number < SteadyClientCount + BurstClientCount)
      Clients.emplace_back(
          [&, Id = ++Number](const auto &) { sendBursts(Id, Plan); });
    Clients.emplace_back([&](const auto &) { loadAllWorkers(); });
    play(Plan, false, Clients);
  }

  auto expectFewRunLosses() -> void {
    std::map<std::string, unsigned> LossesByWorker;
    for (const auto &Line : Stage->logLines(" event=runs-lost ")) {
      const auto Begin = Line.find(" worker=") + 8;
      ++LossesByWorker[Line.substr(Begin, Line.find(' ', Begin) - Begin)];
    }
    unsigned Most = 0;
    for (const auto &[Worker, Losses] : LossesByWorker) {
      Most = std::max(Most, Losses);
      EXPECT_LE(Losses, MaxRunLosses) << Worker << " loses runs too often";
    }
    std::cout << "runs lost at most " << Most << " times by one worker\n";
  }

  static constexpr Traffic LongJobs{JobPlan::randomLong, 1000, 2500};
};

// Guards against a start that the next process of a worker takes although its
// lease was computed for the former one: machines restart while the owner waits
// for answers of their processes, get starts at once, and are cut off.
TEST_F(RestartTest, nextProcessHoldsALeaseThatTheOwnerBelievesToBeOver) {
  WorkerRestart Restart;
  Restart.Group.Name = "every second worker";
  constexpr auto Count = OutageStage::RackCount * OutageStage::WorkersPerRack;
  for (unsigned Worker = 0; Worker < Count; Worker += 2)
    Restart.Group.Workers.push_back(Worker);
  Restart.AtMs = 3000;
  Restart.DownMs = 300;
  Restart.IsOfMachines = true;
  Restart.MaxEntryDelayMs = 3000;
  Restart.CutDelayMs = 400;
  Restart.CutMs = 8000;
  RestartPlan Plan;
  Plan.Restarts = {Restart};
  ASSERT_NO_FATAL_FAILURE(start());
  playWithTraffic(Plan);
  expectAllCompleted(CompletionLimitMs);
  expectFewRunLosses();
  expectNoFindings();
}

// Guards against tasks that run twice, are started again after their end, or
// stand still when workers restart under their ids and are cut off soon after.
TEST_F(RestartTest, tasksRunTwiceOnWorkersThatRestartAndAreCutOff) {
  std::mt19937_64 Random(Seed);
  const auto Plan = RestartPlan::random(Random, trafficMs(12));
  std::cout << Plan.describe();
  ASSERT_NO_FATAL_FAILURE(start());
  playWithTraffic(Plan);
  expectAllCompleted(CompletionLimitMs);
  expectFewRunLosses();
  expectNoFindings();
}

} // namespace
} // namespace jayramp::platform_test
