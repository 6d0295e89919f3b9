// Compares placement rules over a simulated day; see docs/jobs.md. Exits with 1
// if a target is missed.
//
// Arguments: --short simulates 4 hours only; a number sets the random seed.
#include "PlacementSimulation.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>

namespace jayramp {
namespace {

constexpr double DaySeconds = 86400;
constexpr double JobsPerDay = 2600;

/// Ratio of the accelerator time that the jobs of a day need to the installed
/// accelerator time. Below 1, so that free capacity exists between the peaks.
constexpr double OfferedLoad = 0.85;

/// Returns \p Workers workers in racks of 6, which are spread over \p Zones
/// zones with two zones to a region. Each worker has 8 accelerators if
/// \p LargeWorkers, otherwise 1 or 2.
auto makeWorkers(std::uint32_t Workers, std::uint32_t Zones, bool LargeWorkers)
    -> std::vector<WorkerDescription> {
  std::vector<WorkerDescription> List;
  const auto Racks = (Workers + 5) / 6;
  for (std::uint32_t Index = 0; Index < Workers; ++Index) {
    const auto Rack = Index / 6;
    const auto Zone = Rack * Zones / Racks;
    // At target size, one worker in each of 120 of the 129 racks has two
    // accelerators and all other workers have one, which gives 770 workers with
    // 890 accelerators.
    const std::uint32_t Accelerators =
        LargeWorkers ? 8
                     : (Index % 6 == 0 && Rack < 120 * Workers / 770 ? 2 : 1);
    char Name[32];
    std::snprintf(Name, sizeof(Name), "w%05u", Index);
    char RackName[32];
    std::snprintf(RackName, sizeof(RackName), "k%04u", Rack);
    List.push_back({Name, "r" + std::to_string(Zone / 2),
                    "z" + std::to_string(Zone), RackName, Accelerators});
  }
  return List;
}

/// Adds random jobs, drawn from the seed of \p Cluster, to \p Cluster.
auto makeJobs(SimulatedCluster &Cluster) -> void {
  std::mt19937_64 Random(Cluster.Seed);
  std::uniform_real_distribution<double> Uniform(0, 1);
  std::exponential_distribution<double> ArrivalGap(1.5 * JobsPerDay /
                                                   DaySeconds);
  std::lognormal_distribution<double> RunTimeSpread(0, 0.8);
  double Total = 0;
  for (double At = ArrivalGap(Random); At < Cluster.DurationSeconds;
       At += ArrivalGap(Random)) {
    SimulatedJob NewJob;
    // The arrival rate varies by half over the day: arrivals are drawn at the
    // peak rate and rejected in proportion.
    const auto DailyFactor =
        1 + 0.5 * std::sin(2 * 3.14159265 * At / DaySeconds);
    if (Uniform(Random) > DailyFactor / 1.5)
      continue;
    NewJob.ArrivalTime = At;
    const auto &Account = Cluster.Accounts[Random() % Cluster.Accounts.size()];
    auto &Job = NewJob.Specification;
    Job.Id = "j" + std::to_string(Cluster.Jobs.size());
    Job.Account = Account.Name;
    const auto PriorityDraw = Uniform(Random);
    Job.Priority = PriorityDraw < 0.05   ? JobPriority::Urgent
                   : PriorityDraw < 0.25 ? JobPriority::Guaranteed
                                         : JobPriority::Surplus;
    if (Job.Priority == JobPriority::Surplus) {
      const auto SizeDraw = Uniform(Random);
      Job.Accelerators = SizeDraw < 0.62    ? 1
                         : SizeDraw < 0.77  ? 2
                         : SizeDraw < 0.88  ? 4
                         : SizeDraw < 0.95  ? 8
                         : SizeDraw < 0.98  ? 16
                         : SizeDraw < 0.993 ? 32
                                            : 64;
      Job.Adjacent = Uniform(Random) < 0.5;
    } else {
      Job.Accelerators =
          Account.Guarantees[Random() % Account.Guarantees.size()].Accelerators;
      Job.Adjacent = true;
    }
    NewJob.RunSeconds = RunTimeSpread(Random);
    if (Uniform(Random) < 0.01)
      NewJob.RunSeconds *= 10; // Stragglers.
    Job.DeclaredRunTime = Milliseconds(static_cast<std::int64_t>(
        NewJob.RunSeconds * 3.6e6 * (Uniform(Random) * 4)));
    Total += NewJob.RunSeconds * Job.Accelerators;
    Cluster.Jobs.push_back(std::move(NewJob));
  }
  double AcceleratorCount = 0;
  for (const auto &Worker : Cluster.Workers)
    AcceleratorCount += Worker.Accelerators;
  const auto LoadFactor =
      OfferedLoad * AcceleratorCount * Cluster.DurationSeconds / Total;
  for (auto &Job : Cluster.Jobs)
    Job.RunSeconds *= LoadFactor;
}

/// Returns a cluster of the current size: 48 workers.
auto makeCurrentCluster(std::uint64_t Seed, double DurationSeconds)
    -> SimulatedCluster {
  SimulatedCluster Cluster{"48 workers x 8",
                           makeWorkers(48, 4, true),
                           {},
                           {},
                           DurationSeconds,
                           Seed};
  Cluster.Accounts = {{"a", {{8, 6}}, 0},
                      {"b", {{16, 2}, {8, 2}}, 0},
                      {"c", {{4, 4}}, 0},
                      {"d", {{1, 8}, {2, 4}}, 0}};
  makeJobs(Cluster);
  return Cluster;
}

/// Returns a cluster of the size that the scheduler is designed for.
auto makeTargetCluster(std::uint64_t Seed, double DurationSeconds)
    -> SimulatedCluster {
  SimulatedCluster Cluster{"770 workers, 890 accelerators",
                           makeWorkers(770, 6, false),
                           {},
                           {},
                           DurationSeconds,
                           Seed};
  for (int Team = 0; Team < 30; ++Team)
    Cluster.Accounts.push_back(
        {"t" + std::to_string(Team),
         Team % 3 == 0   ? std::vector<GuaranteedCapacity>{{8, 1}, {1, 4}}
         : Team % 3 == 1 ? std::vector<GuaranteedCapacity>{{2, 2}, {4, 2}}
                         : std::vector<GuaranteedCapacity>{{1, 6}},
         0});
  makeJobs(Cluster);
  return Cluster;
}

auto printReport(const char *Name, const SimulationReport &Report) -> void {
  std::printf("%-30s finished=%u open=%u completion_mean_s=%.0f p95_s=%.0f "
              "surplus_used=%.4f probes=%u broken=%u reclaimed=%u "
              "largest_gang=%.1f ideal_gang=%.1f free=%.1f "
              "decision_p50_us=%.0f p99_us=%.0f "
              "cpu_p99_us=%.0f decisions=%u\n",
              Name, Report.FinishedJobs, Report.UnfinishedJobs,
              Report.MeanCompletionSeconds, Report.P95CompletionSeconds,
              Report.SurplusUtilization, Report.ProbeCount,
              Report.BrokenGuarantees, Report.ReclaimedGangs,
              Report.MeanLargestGangSize, Report.MeanIdealGangSize,
              Report.MeanFreeAccelerators, Report.DecisionP50Micros,
              Report.DecisionP99Micros, Report.DecisionCpuP99Micros,
              Report.DecisionCount);
  std::fflush(stdout);
}

/// Prints whether a target is met and returns \p Met.
auto checkTarget(const char *Text, bool Met) -> bool {
  std::printf("  target %-55s %s\n", Text, Met ? "met" : "NOT MET");
  return Met;
}

/// Measures and prints the time of one placement of a gang of \p Gang
/// accelerators on a cluster with 80% of its accelerators in use.
auto measureDecisionTime(std::uint32_t Workers, std::uint32_t Gang) -> void {
  auto Scheduler =
      JobScheduler::make(Topology::make(makeWorkers(Workers, 6, false)).value(),
                         {{"a", {{2, 4}}, 0}});
  TimePoint Now{};
  std::mt19937_64 Random(1);
  const auto AcceleratorCount = Scheduler.topology().acceleratorCount();
  for (std::uint32_t Index = 0; Index < AcceleratorCount * 8 / 10; ++Index)
    (void)Scheduler.submit({"f" + std::to_string(Index), "a", 1}, Now);
  Scheduler.decide(Now);
  std::vector<double> Times;
  for (int Round = 0; Round < 300; ++Round) {
    const auto Id = "m" + std::to_string(Round);
    (void)Scheduler.submit({Id, "a", Gang, JobPriority::Surplus, false}, Now);
    const auto Start = std::chrono::steady_clock::now();
    Scheduler.decide(Now);
    Times.push_back(std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - Start)
                        .count());
    Scheduler.cancel(Id);
    Scheduler.recordGangStopped(Id, 1);
    Scheduler.decide(Now);
  }
  std::sort(Times.begin(), Times.end());
  std::printf("growth workers=%u accelerators=%u gang=%u p50_us=%.0f "
              "p99_us=%.0f\n",
              Workers, AcceleratorCount, Gang, Times[150], Times[297]);
}

/// Runs \p Cluster with each placement rule and prints the reports. Returns
/// whether all targets that apply are met.
auto comparePlacementRules(const SimulatedCluster &Cluster,
                           bool IsTargetCluster, bool IsShortRun) -> bool {
  std::printf("cluster: %s, jobs=%zu, hours=%.0f, seed=%llu\n",
              Cluster.Name.c_str(), Cluster.Jobs.size(),
              Cluster.DurationSeconds / 3600,
              static_cast<unsigned long long>(Cluster.Seed));
  const auto SmallestBlockReport =
      PlacementSimulation(Cluster, PlacementRule::SmallestBlock, true).run();
  printReport("jayramp", SmallestBlockReport);
  const auto FirstFitReport =
      PlacementSimulation(Cluster, PlacementRule::FirstFit, true).run();
  printReport("first fit", FirstFitReport);
  const auto UncheckedReport =
      PlacementSimulation(Cluster, PlacementRule::FirstFit, false).run();
  printReport("first fit, no reclaim check", UncheckedReport);
  bool Met = checkTarget("surplus used > 0.95",
                         SmallestBlockReport.SurplusUtilization > 0.95);
  Met = checkTarget("no broken guarantee",
                    SmallestBlockReport.BrokenGuarantees == 0) &&
        Met;
  // Not required of a short run: too few jobs start and end for the gang size
  // target, and decision times suffer if the machine is busy.
  const bool LargeEnough =
      checkTarget("largest gang >= 1.5 x first fit",
                  SmallestBlockReport.MeanLargestGangSize >=
                      1.5 * FirstFitReport.MeanLargestGangSize);
  const bool FastEnough =
      !IsTargetCluster ||
      checkTarget("decision p99 < 1 ms",
                  SmallestBlockReport.DecisionP99Micros < 1000);
  return Met && (IsShortRun || (LargeEnough && FastEnough));
}

} // namespace
} // namespace jayramp

auto main(int Count, char **Arguments) -> int {
  bool IsShortRun = false;
  std::uint64_t Seed = 20260101;
  for (int Index = 1; Index < Count; ++Index) {
    if (std::strcmp(Arguments[Index], "--short") == 0)
      IsShortRun = true;
    else
      Seed = std::strtoull(Arguments[Index], nullptr, 10);
  }
  const double DurationSeconds = IsShortRun ? 4 * 3600 : jayramp::DaySeconds;
  bool Met = jayramp::comparePlacementRules(
      jayramp::makeCurrentCluster(Seed, DurationSeconds), false, IsShortRun);
  Met = jayramp::comparePlacementRules(
            jayramp::makeTargetCluster(Seed, DurationSeconds), true,
            IsShortRun) &&
        Met;
  for (const std::uint32_t Workers : {192U, 770U, 3080U})
    jayramp::measureDecisionTime(Workers, 8);
  for (const std::uint32_t Gang : {1U, 8U, 64U})
    jayramp::measureDecisionTime(770, Gang);
  return Met ? 0 : 1;
}
