#include "PlacementSimulation.h"

#include "Jobs/BlockFinder.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <numeric>
#include <random>

namespace jayramp {
namespace {

// A reclaim takes 1.0 s for the checkpoint, 0.5 s for the throttle and 1.0 s
// for the stop.
constexpr double ReclaimSeconds = 2.5;
// A gang with a lost member stops when its lease expires.
constexpr double SurplusLeaseSeconds = 4;
constexpr double GuaranteedLeaseSeconds = 10;
// Time within which an urgent job must start.
constexpr double ProbeStartLimitSeconds = 5.2;
constexpr double ProbeRunSeconds = 120;
// Work lost by a checkpoint and restart.
constexpr double RestartCostSeconds = 30;
constexpr double HostFailuresPerDay = 13;
constexpr double SampleIntervalSeconds = 600;

/// Returns \p Accounts, without their guarantees unless \p KeepGuarantees.
auto accountPolicies(std::vector<AccountPolicy> Accounts, bool KeepGuarantees)
    -> std::vector<AccountPolicy> {
  if (!KeepGuarantees)
    for (auto &Account : Accounts)
      Account.Guarantees.clear();
  return Accounts;
}

auto policyFor(PlacementRule Rule) -> SchedulerPolicy {
  SchedulerPolicy Policy;
  Policy.Rule = Rule;
  return Policy;
}

/// Returns the CPU time of this thread in microseconds. Unlike wall time it
/// does not grow when the machine runs other processes.
auto threadCpuMicros() -> double {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 +
         static_cast<double>(Time.tv_nsec) / 1e3;
}

/// Returns the value below which \p Share (0 to 1) of \p Values lie; 0 without
/// values.
auto percentile(std::vector<double> Values, double Share) -> double {
  if (Values.empty())
    return 0;
  const auto At = std::min(
      Values.size() - 1,
      static_cast<std::size_t>(Share * static_cast<double>(Values.size())));
  std::nth_element(Values.begin(), Values.begin() + static_cast<long>(At),
                   Values.end());
  return Values[At];
}

} // namespace

PlacementSimulation::PlacementSimulation(const SimulatedCluster &Cluster,
                                         PlacementRule Rule,
                                         bool KeepGuarantees)
    : Cluster(Cluster),
      Scheduler(JobScheduler::make(
          Topology::make(Cluster.Workers).value(),
          accountPolicies(Cluster.Accounts, KeepGuarantees), policyFor(Rule))) {
}

auto PlacementSimulation::currentTime() const -> TimePoint {
  return TimePoint(Milliseconds(static_cast<std::int64_t>(Now * 1000)));
}

auto PlacementSimulation::pushEvent(double At, EventKind Kind, std::string Name,
                                    std::uint32_t Number) -> void {
  Events.push({At, NextSequenceNumber++, Kind, std::move(Name), Number});
}

auto PlacementSimulation::run() -> SimulationReport {
  std::mt19937_64 Random(Cluster.Seed + 1);
  for (std::uint32_t Index = 0; Index < Cluster.Jobs.size(); ++Index)
    pushEvent(Cluster.Jobs[Index].ArrivalTime, EventKind::JobArrival, {},
              Index);
  std::exponential_distribution<double> Gap(HostFailuresPerDay / 86400);
  for (double At = Gap(Random); At < Cluster.DurationSeconds;
       At += Gap(Random)) {
    const auto &Name = Cluster.Workers[Random() % Cluster.Workers.size()].Name;
    pushEvent(At, EventKind::WorkerLost, Name);
    pushEvent(At + 900, EventKind::WorkerReturned, Name);
  }
  for (std::uint32_t Hour = 1; Hour * 3600.0 < Cluster.DurationSeconds; ++Hour)
    pushEvent(Hour * 3600.0, EventKind::ProbeSubmission, {}, Hour);
  for (double At = Cluster.DurationSeconds / 2; At < Cluster.DurationSeconds;
       At += SampleIntervalSeconds)
    pushEvent(At, EventKind::Sample, {});

  while (!Events.empty() && Events.top().At < Cluster.DurationSeconds) {
    const auto Next = Events.top();
    Events.pop();
    addSurplusTime(Next.At);
    Now = Next.At;
    handleEvent(Next);
    decide();
  }
  addSurplusTime(Cluster.DurationSeconds);

  Report.FinishedJobs = static_cast<std::uint32_t>(CompletionSeconds.size());
  for (const auto &[Job, Entry] : ActiveJobs)
    Report.UnfinishedJobs += Entry.IsProbe ? 0 : 1;
  if (!CompletionSeconds.empty())
    Report.MeanCompletionSeconds =
        std::accumulate(CompletionSeconds.begin(), CompletionSeconds.end(),
                        0.0) /
        static_cast<double>(CompletionSeconds.size());
  Report.P95CompletionSeconds = percentile(CompletionSeconds, 0.95);
  const auto AvailableSeconds =
      SurplusAcceleratorSeconds + IdleAcceleratorSeconds;
  Report.SurplusUtilization =
      AvailableSeconds > 0 ? SurplusAcceleratorSeconds / AvailableSeconds : 1;
  Report.MeanLargestGangSize =
      SampleCount > 0 ? LargestGangSum / SampleCount : 0;
  Report.MeanIdealGangSize = SampleCount > 0 ? IdealGangSum / SampleCount : 0;
  Report.MeanFreeAccelerators =
      SampleCount > 0 ? FreeAcceleratorSum / SampleCount : 0;
  Report.DecisionP50Micros = percentile(DecisionMicros, 0.50);
  Report.DecisionP99Micros = percentile(DecisionMicros, 0.99);
  Report.DecisionCpuP99Micros = percentile(DecisionCpuMicros, 0.99);
  Report.DecisionCount = static_cast<std::uint32_t>(DecisionMicros.size());
  return Report;
}

auto PlacementSimulation::addSurplusTime(double Until) -> void {
  // Surplus use counts only while jobs wait, and free accelerators only if a
  // waiting job fits on them.
  SurplusAcceleratorSeconds += (Until - Now) * SurplusAccelerators;
  IdleAcceleratorSeconds += (Until - Now) * UsableIdleAccelerators;
}

auto PlacementSimulation::handleEvent(const Event &Next) -> void {
  switch (Next.Kind) {
  case EventKind::JobArrival: {
    const auto &Job = Cluster.Jobs[Next.Number];
    if (Scheduler.submit(Job.Specification, currentTime()))
      ActiveJobs[Job.Specification.Id] = {Now, Job.RunSeconds, 0, false, false};
    break;
  }
  case EventKind::JobFinish:
    finishJob(Next.Name, Next.Number);
    break;
  case EventKind::GangStopped:
    Scheduler.recordGangStopped(Next.Name, Next.Number);
    break;
  case EventKind::ProbeSubmission:
    submitProbes(Next.Number);
    break;
  case EventKind::ProbeCheck: {
    const auto *Job = Scheduler.findJob(Next.Name);
    ++Report.ProbeCount;
    if (Job != nullptr && Job->Phase != JobPhase::Running) {
      ++Report.BrokenGuarantees;
    }
    if (Job != nullptr && Job->Phase != JobPhase::Running)
      Scheduler.cancel(Next.Name);
    break;
  }
  case EventKind::Sample:
    LargestGangSum += Scheduler.largestPlaceableGangSize();
    FreeAcceleratorSum += Scheduler.acceleratorCounts().Free;
    IdealGangSum += std::min(64U, Scheduler.acceleratorCounts().Free);
    ++SampleCount;
    break;
  case EventKind::WorkerLost:
    Scheduler.markWorkerLost(Next.Name);
    break;
  case EventKind::WorkerReturned:
    Scheduler.markWorkerReturned(Next.Name);
    break;
  }
}

auto PlacementSimulation::finishJob(const std::string &Job,
                                    std::uint32_t Attempt) -> void {
  const auto *Record = Scheduler.findJob(Job);
  if (Record == nullptr || Record->Attempt != Attempt ||
      Record->Phase != JobPhase::Running)
    return;
  std::vector<std::string> Workers;
  for (const auto &Place : Scheduler.placement(Job))
    if (Workers.empty() || Workers.back() != Place.Worker)
      Workers.push_back(Place.Worker);
  for (const auto &Worker : Workers)
    Scheduler.recordTaskEnd({Job, Attempt, Worker, TaskResult::Finished},
                            currentTime());
  const auto Found = ActiveJobs.find(Job);
  if (!Found->second.IsProbe)
    CompletionSeconds.push_back(Now - Found->second.ArrivedAt);
  ActiveJobs.erase(Found);
}

auto PlacementSimulation::submitProbes(std::uint32_t Number) -> void {
  const auto &Account = Cluster.Accounts[Number % Cluster.Accounts.size()];
  // Derives the unused guaranteed shapes from the gangs instead of reading them
  // from the scheduler's guarantee plan: each guaranteed gang takes a shape of
  // its size or else the next larger one.
  std::map<std::uint32_t, std::vector<std::uint32_t>> UnusedBySize;
  for (const auto &Shape : Account.Guarantees)
    UnusedBySize[Shape.Accelerators].assign(Shape.Count, Shape.Accelerators);
  for (const auto &Degraded : Scheduler.degradedGuarantees())
    if (Degraded.Account == Account.Name)
      UnusedBySize[Degraded.Accelerators].resize(
          UnusedBySize[Degraded.Accelerators].size() - Degraded.Count);
  const bool HasPlan = !Scheduler.guaranteePlan().shapes().empty();
  std::vector<std::uint32_t> GangSizes;
  for (const auto &Id : Scheduler.jobIds()) {
    const auto *Job = Scheduler.findJob(Id);
    const auto &Specification = Job->Specification;
    if (Specification.Account == Account.Name &&
        Specification.Priority != JobPriority::Surplus &&
        (HasPlan ? Job->Guaranteed : Job->Phase == JobPhase::Running))
      GangSizes.push_back(Specification.Accelerators);
  }
  std::sort(GangSizes.begin(), GangSizes.end(), std::greater<>());
  for (auto Size : GangSizes) {
    std::uint32_t *Best = nullptr;
    for (auto &[Shape, Units] : UnusedBySize)
      for (auto &Unused : Units)
        if (Unused >= Size && (Best == nullptr || Unused < *Best))
          Best = &Unused;
    if (Best != nullptr)
      *Best -= Size;
  }
  for (const auto &Shape : Account.Guarantees) {
    const auto &Units = UnusedBySize[Shape.Accelerators];
    const auto Unused = static_cast<std::uint32_t>(
        std::count(Units.begin(), Units.end(), Shape.Accelerators));
    for (std::uint32_t Index = 0; Index < Unused; ++Index) {
      const auto Id = "probe-" + std::to_string(Number) + "-" +
                      std::to_string(Shape.Accelerators) + "-" +
                      std::to_string(Index);
      if (!Scheduler.submit(
              {Id, Account.Name, Shape.Accelerators, JobPriority::Urgent, true},
              currentTime()))
        continue;
      ActiveJobs[Id] = {Now, ProbeRunSeconds, 0, true, false};
      pushEvent(Now + ProbeStartLimitSeconds, EventKind::ProbeCheck, Id);
    }
  }
}

auto PlacementSimulation::decide() -> void {
  const auto CpuBefore = threadCpuMicros();
  const auto Before = std::chrono::steady_clock::now();
  const auto Decisions = Scheduler.decide(currentTime());
  const std::chrono::duration<double, std::micro> Duration =
      std::chrono::steady_clock::now() - Before;
  const auto CpuDuration = threadCpuMicros() - CpuBefore;
  bool ChangesPlacement = false;
  for (const auto &NewDecision : Decisions) {
    ChangesPlacement = ChangesPlacement ||
                       std::holds_alternative<StartGang>(NewDecision) ||
                       std::holds_alternative<ReclaimGangs>(NewDecision);
    applyDecision(NewDecision);
  }
  if (ChangesPlacement) {
    DecisionMicros.push_back(Duration.count());
    DecisionCpuMicros.push_back(CpuDuration);
  }
  UsableIdleAccelerators = countUsableIdleAccelerators();
  SurplusAccelerators = 0;
  for (const auto &Id : Scheduler.jobIds())
    if (Scheduler.findJob(Id)->Phase == JobPhase::Pending) {
      SurplusAccelerators = Scheduler.acceleratorCounts().HeldBySurplusGangs;
      break;
    }
}

auto PlacementSimulation::applyDecision(const Decision &NewDecision) -> void {
  if (const auto *Start = std::get_if<StartGang>(&NewDecision)) {
    auto &Entry = ActiveJobs.at(Start->Job);
    Entry.StartedAt = Now;
    Entry.Guaranteed = Start->Guaranteed;
    pushEvent(Now + Entry.RemainingSeconds, EventKind::JobFinish, Start->Job,
              Start->Attempt);
  } else if (const auto *Reclaim = std::get_if<ReclaimGangs>(&NewDecision)) {
    for (const auto &Victim : Reclaim->Victims) {
      ++Report.ReclaimedGangs;
      pauseJob(Victim.Job);
      pushEvent(Now + ReclaimSeconds, EventKind::GangStopped, Victim.Job,
                Victim.Attempt);
    }
  } else if (const auto *Stop = std::get_if<StopGang>(&NewDecision)) {
    pauseJob(Stop->Job);
    pushEvent(Now + (ActiveJobs.at(Stop->Job).Guaranteed
                         ? GuaranteedLeaseSeconds
                         : SurplusLeaseSeconds),
              EventKind::GangStopped, Stop->Job, Stop->Attempt);
  } else if (const auto *End = std::get_if<EndJob>(&NewDecision)) {
    ActiveJobs.erase(End->Job);
  }
}

auto PlacementSimulation::pauseJob(const std::string &Job) -> void {
  auto &Entry = ActiveJobs.at(Job);
  Entry.RemainingSeconds =
      std::max(1.0, Entry.RemainingSeconds - (Now - Entry.StartedAt)) +
      RestartCostSeconds;
}

auto PlacementSimulation::countUsableIdleAccelerators() const -> std::uint32_t {
  const auto &Pool = Scheduler.acceleratorPool();
  BlockFinder::Occupancy Current(Pool.size(), BlockFinder::Unavailable);
  std::uint32_t Unused = 0;
  for (std::uint32_t Index = 0; Index < Pool.size(); ++Index)
    if (Pool.isUsable(Index) && Pool.holder(Index) == AcceleratorPool::NoJob) {
      Current[Index] = BlockFinder::Free;
      ++Unused;
    }
  if (Unused == 0)
    return 0;
  const auto Finder =
      BlockFinder::make(Scheduler.topology(), PlacementRule::SmallestBlock);
  std::uint32_t Fitting = 0;
  for (const auto &Id : Scheduler.jobIds()) {
    const auto *Job = Scheduler.findJob(Id);
    const auto &Specification = Job->Specification;
    if (Job->Phase == JobPhase::Running || Job->Phase == JobPhase::Stopping ||
        Specification.Accelerators > Unused)
      continue;
    if (Finder.findBest(
            {Specification.Accelerators, Specification.Adjacent, {}}, Current))
      Fitting += Specification.Accelerators;
    if (Fitting >= Unused)
      return Unused;
  }
  return Fitting;
}

} // namespace jayramp
