// Time of one decision of a shard's scheduler at the sizes of the sites, with
// every accelerator taken and work of all priorities waiting. Exits with 1 if
// the 99th of 100 is above the target of its size.

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

struct Size {
  int Workers;
  int Racks;
  Microseconds Target; ///< Of one decision, 99th of 100.
};

constexpr int Decisions = 2000;
constexpr Milliseconds Interval{20};
constexpr std::int64_t GpusPerWorker = 8;
// Work arrives faster than it ends, so that jobs wait and are reclaimed for.
constexpr double OfferedLoad = 1.3;

/// A stream of jobs as on the sites: mostly single tasks, gangs of 2 to 16, a
/// tenth urgent, step 0 only.
class Load {
public:
  explicit Load(std::uint32_t Seed) : Random(Seed) {}

  auto job() -> JobSpec {
    JobSpec Job;
    Job.Id = "job" + std::to_string(Next++);
    Job.Queue = "queue";
    Job.Service = "pool";
    Job.Tenant = "tenant" + std::to_string(below(6));
    Job.Priority = below(10) == 0 ? 0 : 1 + below(2);
    Job.MaxAttempts = 2;
    Job.Stretch = 3;
    Job.TargetLatency = Milliseconds(1000);
    Job.Steps.resize(1);
    auto &Step = Job.Steps[0];
    Step.Gang = below(4) == 0;
    Step.Count = Step.Gang ? 2U << below(4) : 1 + below(3);
    Step.SameRack = Step.Gang && below(3) == 0;
    Step.Need = {1000, 1000, std::int64_t(1) << below(4)};
    Step.Estimate = Milliseconds(400 + below(4000));
    return Job;
  }

  auto below(std::uint32_t Limit) -> std::uint32_t { return Random() % Limit; }

private:
  std::mt19937 Random;
  int Next = 0;
};

auto acceleratorTime(const JobSpec &Job) -> double {
  const auto &Step = Job.Steps[0];
  return static_cast<double>(Step.Count * Step.Need.Gpus) *
         static_cast<double>(Step.Estimate.count());
}

class Site {
public:
  explicit Site(const Size &Wanted) {
    for (int Number = 0; Number < Wanted.Workers; ++Number) {
      WorkerReport Report;
      Report.Id = "w" + std::to_string(Number);
      Report.Address = Report.Id;
      Report.Service = "pool";
      Report.Rack = "r" + std::to_string(Number % Wanted.Racks);
      Report.Capacity = {64000, 128000, GpusPerWorker};
      Scheduler.updateWorker(Report, Now);
    }
    Capacity = static_cast<double>(Wanted.Workers * GpusPerWorker);
    Scheduler.setGuarantees({{"tenant0", Wanted.Workers * GpusPerWorker / 4}});
  }

  /// One interval: ends, arrivals, then the decision, whose time it returns.
  auto step() -> Microseconds {
    Now += Interval;
    endDueRuns();
    Owed += OfferedLoad * Capacity * static_cast<double>(Interval.count());
    while (Owed > 0) {
      JobSpec Job = Arrivals.job();
      Owed -= acceleratorTime(Job);
      Scheduler.addJob(std::move(Job), {}, Now);
    }
    auto Begin = std::chrono::steady_clock::now();
    Scheduler.schedule(Now);
    Microseconds Took = std::chrono::steady_clock::now() - Begin;
    carryOut();
    return Took;
  }

  auto waitingJobs() const -> std::size_t {
    std::set<std::string> Running;
    for (const auto &[Id, Alive] : Scheduler.runs())
      Running.insert(Id.Job);
    return Scheduler.jobs().size() - Running.size();
  }

private:
  // The workers obey at once, so that only decisions are measured.
  auto carryOut() -> void {
    for (const auto &Stop : Scheduler.takeStopDecisions())
      Scheduler.runEnded(Stop.Run, RunOutcome::Stopped, {}, Now);
    std::vector<RunId> Placed;
    for (const auto &[Id, Alive] : Scheduler.runs())
      if (!Ends.count(Id))
        Placed.push_back(Id);
    for (const RunId &Id : Placed) {
      Ends[Id] = Now + Scheduler.job(Id.Job)->Spec.Steps[0].Estimate;
      Scheduler.runStarted(Id, Now);
    }
    Scheduler.takePlacementDecisions();
    forgetFinished();
  }

  auto endDueRuns() -> void {
    std::vector<RunId> Due;
    for (const auto &[Id, At] : Ends)
      if (At <= Now)
        Due.push_back(Id);
    for (const RunId &Id : Due) {
      Ends.erase(Id);
      if (Scheduler.run(Id))
        Scheduler.runEnded(Id, RunOutcome::Succeeded, {}, Now);
    }
  }

  auto forgetFinished() -> void {
    for (const auto &Id : Scheduler.takeChangedJobs(1000))
      Scheduler.removeFinishedJob(Id);
  }

  ShardScheduler Scheduler;
  Load Arrivals{7};
  std::map<RunId, TimePoint> Ends;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  double Capacity = 0;
  double Owed = 0;
};

/// Prints the figures; true if the target is met.
auto measure(const Size &Wanted) -> bool {
  Site Measured(Wanted);
  std::vector<Microseconds> Taken;
  for (int Number = 0; Number < Decisions; ++Number)
    Taken.push_back(Measured.step());
  std::sort(Taken.begin(), Taken.end());
  auto High = Taken[Taken.size() * 99 / 100];
  std::printf("workers=%d waiting_jobs=%zu p50_us=%.0f p99_us=%.0f max_us=%.0f "
              "target_us=%.0f\n",
              Wanted.Workers, Measured.waitingJobs(),
              Taken[Taken.size() / 2].count(), High.count(),
              Taken.back().count(), Wanted.Target.count());
  return High <= Wanted.Target;
}

} // namespace
} // namespace jayramp::scheduling

auto main() -> int {
  using namespace jayramp::scheduling;
  bool Small = measure({48, 6, Microseconds(1000)});
  bool Large = measure({350, 20, Microseconds(5000)});
  return Small && Large ? 0 : 1;
}
