// Measures the time of one decision of a shard's scheduler at the sizes of the
// deployed sites. All accelerators are in use and jobs of all priorities wait.
// Exits with 1 if the 99th percentile is above the target for the size of the
// site.

#include "Scheduling/ShardScheduler.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

namespace jayramp::scheduling {
namespace {

using Microseconds = std::chrono::duration<double, std::micro>;

/// Size of a simulated site and its target.
struct SiteSize {
  int Workers;
  int Racks;
  /// Less urgent tasks that wait from the start, in jobs of TasksPerBatchJob.
  std::uint32_t WaitingTasks;
  Microseconds P99Target;      ///< For the 99th percentile of one decision.
  bool HasSlowWorkers = false; ///< Every third worker is known to be slow.
};

constexpr int DecisionCount = 1000;
constexpr Milliseconds DecisionInterval{20};
constexpr std::int64_t GpusPerWorker = 8;
constexpr std::uint32_t TasksPerBatchJob = 100;
// Ratio of submitted accelerator time to the capacity. Above 1, jobs have to
// wait and the scheduler has to stop runs in favor of waiting jobs.
constexpr double OfferedLoad = 1.3;

/// Generates random jobs like those of the deployed sites: three quarters have
/// 1 to 3 single tasks and one quarter a gang of 2 to 16 tasks; a tenth is
/// urgent. Each job has one step.
class JobGenerator {
public:
  explicit JobGenerator(std::uint32_t Seed) : Random(Seed) {}

  /// Returns the next job.
  auto nextJob() -> JobSpec {
    JobSpec Job;
    Job.Id = "job" + std::to_string(NextNumber++);
    Job.Queue = "queue";
    Job.Service = "pool";
    Job.Tenant = "tenant" + std::to_string(randomBelow(6));
    Job.Priority = randomBelow(10) == 0 ? 0 : 1 + randomBelow(2);
    Job.MaxAttempts = 2;
    Job.Stretch = 3;
    Job.TargetLatency = Milliseconds(1000);
    Job.Steps.resize(1);
    auto &Step = Job.Steps[0];
    Step.Gang = randomBelow(4) == 0;
    Step.Count = Step.Gang ? 2U << randomBelow(4) : 1 + randomBelow(3);
    Step.SameRack = Step.Gang && randomBelow(3) == 0;
    Step.Need = {1000, 1000, std::int64_t(1) << randomBelow(4)};
    Step.Estimate = Milliseconds(400 + randomBelow(4000));
    return Job;
  }

  /// Returns a less urgent job with TasksPerBatchJob independent tasks.
  auto nextBatchJob() -> JobSpec {
    JobSpec Job = nextJob();
    Job.Priority = 2;
    auto &Step = Job.Steps[0];
    Step.Gang = false;
    Step.SameRack = false;
    Step.Count = TasksPerBatchJob;
    Step.Need = {1000 + randomBelow(4000), 1000 + randomBelow(4000), 1};
    Step.Estimate = Milliseconds(5000);
    return Job;
  }

  /// Returns a random number from 0 to \p Limit - 1.
  auto randomBelow(std::uint32_t Limit) -> std::uint32_t {
    return Random() % Limit;
  }

private:
  std::mt19937 Random;
  int NextNumber = 0;
};

/// Returns the accelerators of \p Job times its estimated run time in
/// milliseconds.
auto acceleratorTime(const JobSpec &Job) -> double {
  const auto &Step = Job.Steps[0];
  return static_cast<double>(Step.Count * Step.Need.Gpus) *
         static_cast<double>(Step.Estimate.count());
}

/// A scheduler with simulated time, workers and jobs.
class SimulatedSite {
public:
  explicit SimulatedSite(const SiteSize &Size) {
    for (int Number = 0; Number < Size.Workers; ++Number) {
      WorkerReport Report;
      Report.Id = "w" + std::to_string(Number);
      Report.Address = Report.Id;
      Report.Service = "pool";
      Report.Rack = "r" + std::to_string(Number % Size.Racks);
      Report.Capacity = {64000, 128000, GpusPerWorker};
      Scheduler.updateWorker(Report, Now);
    }
    if (Size.HasSlowWorkers)
      Scheduler.setTimeFactors(slowThird(Size.Workers));
    AcceleratorCount = static_cast<double>(Size.Workers * GpusPerWorker);
    for (std::uint32_t Tasks = 0; Tasks < Size.WaitingTasks;
         Tasks += TasksPerBatchJob)
      Scheduler.addJob(Generator.nextBatchJob(), {}, Now);
    Scheduler.setGuarantees({{"tenant0", Size.Workers * GpusPerWorker / 4}});
  }

  /// Simulates one interval: ends the runs that are due, submits jobs and lets
  /// the scheduler decide. Returns the time that the decision took.
  auto simulateInterval() -> Microseconds {
    Now += DecisionInterval;
    endDueRuns();
    AcceleratorTimeDue += OfferedLoad * AcceleratorCount *
                          static_cast<double>(DecisionInterval.count());
    while (AcceleratorTimeDue > 0) {
      JobSpec Job = Generator.nextJob();
      AcceleratorTimeDue -= acceleratorTime(Job);
      Scheduler.addJob(std::move(Job), {}, Now);
    }
    auto Begin = std::chrono::steady_clock::now();
    Scheduler.schedule(Now);
    Microseconds Duration = std::chrono::steady_clock::now() - Begin;
    executeDecisions();
    return Duration;
  }

  auto countWaitingTasks() const -> std::size_t {
    std::size_t Sum = 0;
    for (const auto &[Id, Job] : Scheduler.jobs())
      Sum += Job.waitingTasks();
    return Sum;
  }
  auto countRuns() const -> std::size_t { return Scheduler.runs().size(); }

private:
  static auto slowThird(int Workers) -> std::map<std::string, double> {
    constexpr double SlowFactor = 2.4;
    std::map<std::string, double> Factors;
    for (int Number = 0; Number < Workers; Number += 3)
      Factors["w" + std::to_string(Number)] = SlowFactor;
    return Factors;
  }

  // Stops and starts take effect at once, so that only decisions are measured.
  auto executeDecisions() -> void {
    for (const auto &Stop : Scheduler.takeStopDecisions())
      Scheduler.runEnded(Stop.Run, RunOutcome::Stopped, {}, Now);
    std::vector<RunId> NewRuns;
    for (const auto &[Id, Entry] : Scheduler.runs())
      if (!EndTimes.count(Id))
        NewRuns.push_back(Id);
    for (const RunId &Id : NewRuns) {
      EndTimes[Id] = Now + Scheduler.job(Id.Job)->Spec.Steps[0].Estimate;
      Scheduler.runStarted(Id, Now);
    }
    Scheduler.takePlacementDecisions();
    removeFinishedJobs();
  }

  auto endDueRuns() -> void {
    std::vector<RunId> DueRuns;
    for (const auto &[Id, At] : EndTimes)
      if (At <= Now)
        DueRuns.push_back(Id);
    for (const RunId &Id : DueRuns) {
      EndTimes.erase(Id);
      if (Scheduler.run(Id))
        Scheduler.runEnded(Id, RunOutcome::Succeeded, {}, Now);
    }
  }

  auto removeFinishedJobs() -> void {
    for (const auto &Id : Scheduler.takeChangedJobs(1000))
      Scheduler.removeFinishedJob(Id);
  }

  ShardScheduler Scheduler;
  JobGenerator Generator{7};
  std::map<RunId, TimePoint> EndTimes;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  double AcceleratorCount = 0;
  /// Accelerator time in milliseconds that has yet to be submitted as jobs to
  /// reach the offered load; negative after a large job.
  double AcceleratorTimeDue = 0;
};

/// Prints the decision times. Returns whether they meet the target of \p Size.
auto measureDecisions(const SiteSize &Size) -> bool {
  SimulatedSite Site(Size);
  std::vector<Microseconds> DecisionTimes;
  for (int Number = 0; Number < DecisionCount; ++Number)
    DecisionTimes.push_back(Site.simulateInterval());
  std::sort(DecisionTimes.begin(), DecisionTimes.end());
  auto P99 = DecisionTimes[DecisionTimes.size() * 99 / 100];
  std::printf("workers=%d slow_workers=%d runs=%zu waiting_tasks=%zu "
              "p50_us=%.0f p99_us=%.0f "
              "max_us=%.0f target_us=%.0f\n",
              Size.Workers, Size.HasSlowWorkers ? 1 : 0, Site.countRuns(),
              Site.countWaitingTasks(),
              DecisionTimes[DecisionTimes.size() / 2].count(), P99.count(),
              DecisionTimes.back().count(), Size.P99Target.count());
  return P99 <= Size.P99Target;
}

} // namespace
} // namespace jayramp::scheduling

auto main() -> int {
  using namespace jayramp::scheduling;
  bool AllPassed = true;
  for (const SiteSize &Size :
       {SiteSize{48, 6, 1500, Microseconds(1000)},
        SiteSize{350, 20, 10000, Microseconds(5000)},
        SiteSize{1100, 138, 30000, Microseconds(1000)},
        SiteSize{1100, 138, 30000, Microseconds(1000), true},
        SiteSize{4400, 550, 120000, Microseconds(4000)}})
    AllPassed = measureDecisions(Size) && AllPassed;
  return AllPassed ? 0 : 1;
}
