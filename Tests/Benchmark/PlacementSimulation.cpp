#include "PlacementSimulation.h"

#include "Jobs/BlockFinder.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <numeric>
#include <random>

namespace jayramp {
namespace {

constexpr double ReclaimSeconds = 2.5; // checkpoint 1.0, throttle 0.5, stop 1
// A gang with a lost member stops after its lease.
constexpr double SurplusLeaseSeconds = 4;
constexpr double GuaranteedLeaseSeconds = 10;
constexpr double ProbeBound = 5.2; // urgent work starts within this
constexpr double ProbeRuns = 120;
constexpr double RestartCost = 30; // work lost by a checkpoint and restart
constexpr double HostFailuresPerDay = 13;
constexpr double SampleEvery = 600;

auto withoutGuarantees(std::vector<AccountPolicy> Accounts, bool Keep)
    -> std::vector<AccountPolicy> {
  if (!Keep)
    for (auto &Account : Accounts)
      Account.Guarantees.clear();
  return Accounts;
}

auto policyFor(PlacementRule Rule) -> SchedulerPolicy {
  SchedulerPolicy Policy;
  Policy.Rule = Rule;
  return Policy;
}

/// Processor time of this thread in microseconds. Unlike wall time it does not
/// grow when the machine runs other work.
auto processorTime() -> double {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 +
         static_cast<double>(Time.tv_nsec) / 1e3;
}

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
                                         PlacementRule Rule, bool Guarantees)
    : Cluster(Cluster),
      Scheduler(JobScheduler::make(
          Topology::make(Cluster.Workers).value(),
          withoutGuarantees(Cluster.Accounts, Guarantees), policyFor(Rule))) {}

auto PlacementSimulation::time() const -> TimePoint {
  return TimePoint(Milliseconds(static_cast<std::int64_t>(Now * 1000)));
}

auto PlacementSimulation::push(double At, EventKind Kind, std::string Name,
                               std::uint32_t Number) -> void {
  Events.push({At, NextOrder++, Kind, std::move(Name), Number});
}

auto PlacementSimulation::run() -> SimulationReport {
  std::mt19937_64 Random(Cluster.Seed + 1);
  for (std::uint32_t Index = 0; Index < Cluster.Jobs.size(); ++Index)
    push(Cluster.Jobs[Index].ArrivesAt, EventKind::Arrival, {}, Index);
  std::exponential_distribution<double> Gap(HostFailuresPerDay / 86400);
  for (double At = Gap(Random); At < Cluster.Seconds; At += Gap(Random)) {
    const auto &Name = Cluster.Workers[Random() % Cluster.Workers.size()].Name;
    push(At, EventKind::Lost, Name);
    push(At + 900, EventKind::Returned, Name);
  }
  for (std::uint32_t Hour = 1; Hour * 3600.0 < Cluster.Seconds; ++Hour)
    push(Hour * 3600.0, EventKind::Probe, {}, Hour);
  for (double At = Cluster.Seconds / 2; At < Cluster.Seconds; At += SampleEvery)
    push(At, EventKind::Sample, {});

  while (!Events.empty() && Events.top().At < Cluster.Seconds) {
    const auto Next = Events.top();
    Events.pop();
    account(Next.At);
    Now = Next.At;
    handle(Next);
    decide();
  }
  account(Cluster.Seconds);

  Report.Finished = static_cast<std::uint32_t>(Completions.size());
  for (const auto &[Job, Entry] : Work)
    Report.Unfinished += Entry.Probe ? 0 : 1;
  if (!Completions.empty())
    Report.MeanCompletion =
        std::accumulate(Completions.begin(), Completions.end(), 0.0) /
        static_cast<double>(Completions.size());
  Report.P95Completion = percentile(Completions, 0.95);
  const auto Both = SurplusSeconds + IdleSeconds;
  Report.SurplusUsed = Both > 0 ? SurplusSeconds / Both : 1;
  Report.MeanLargestGang = Samples > 0 ? LargestSum / Samples : 0;
  Report.MeanIdealGang = Samples > 0 ? IdealSum / Samples : 0;
  Report.MeanFree = Samples > 0 ? FreeSum / Samples : 0;
  Report.DecisionP50 = percentile(DecisionTimes, 0.50);
  Report.DecisionP99 = percentile(DecisionTimes, 0.99);
  Report.ProcessorP99 = percentile(ProcessorTimes, 0.99);
  Report.Decisions = static_cast<std::uint32_t>(DecisionTimes.size());
  return Report;
}

auto PlacementSimulation::account(double Until) -> void {
  // Counts only time in which a waiting job fits, or surplus capacity is used
  // while jobs wait.
  SurplusSeconds += (Until - Now) * Surplus;
  IdleSeconds += (Until - Now) * Idle;
}

auto PlacementSimulation::handle(const Event &Next) -> void {
  switch (Next.Kind) {
  case EventKind::Arrival: {
    const auto &Job = Cluster.Jobs[Next.Number];
    if (Scheduler.submit(Job.Specification, time()))
      Work[Job.Specification.Id] = {Now, Job.Runs, 0, false, false};
    break;
  }
  case EventKind::Finish:
    finish(Next.Name, Next.Number);
    break;
  case EventKind::Stopped:
    Scheduler.recordGangStopped(Next.Name, Next.Number);
    break;
  case EventKind::Probe:
    startProbe(Next.Number);
    break;
  case EventKind::ProbeCheck: {
    const auto *Job = Scheduler.findJob(Next.Name);
    ++Report.Probes;
    if (Job != nullptr && Job->Phase != JobPhase::Running) {
      ++Report.BrokenGuarantees;
    }
    if (Job != nullptr && Job->Phase != JobPhase::Running)
      Scheduler.cancel(Next.Name);
    break;
  }
  case EventKind::Sample:
    LargestSum += Scheduler.largestPlaceableGangSize();
    FreeSum += Scheduler.acceleratorCounts().Free;
    IdealSum += std::min(64U, Scheduler.acceleratorCounts().Free);
    ++Samples;
    break;
  case EventKind::Lost:
    Scheduler.markWorkerLost(Next.Name);
    break;
  case EventKind::Returned:
    Scheduler.markWorkerReturned(Next.Name);
    break;
  }
}

auto PlacementSimulation::finish(const std::string &Job, std::uint32_t Attempt)
    -> void {
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
                            time());
  const auto Found = Work.find(Job);
  if (!Found->second.Probe)
    Completions.push_back(Now - Found->second.ArrivedAt);
  Work.erase(Found);
}

auto PlacementSimulation::startProbe(std::uint32_t Number) -> void {
  const auto &Account = Cluster.Accounts[Number % Cluster.Accounts.size()];
  // Unused shapes are counted from the gangs, not taken from the plan: each
  // guaranteed gang uses a shape of its size or else the next larger one.
  std::map<std::uint32_t, std::vector<std::uint32_t>> Room;
  for (const auto &Shape : Account.Guarantees)
    Room[Shape.Accelerators].assign(Shape.Count, Shape.Accelerators);
  for (const auto &Degraded : Scheduler.degradedGuarantees())
    if (Degraded.Account == Account.Name)
      Room[Degraded.Accelerators].resize(Room[Degraded.Accelerators].size() -
                                         Degraded.Count);
  const bool Planned = !Scheduler.guaranteePlan().shapes().empty();
  std::vector<std::uint32_t> Gangs;
  for (const auto &Id : Scheduler.jobIds()) {
    const auto *Job = Scheduler.findJob(Id);
    const auto &Wanted = Job->Specification;
    if (Wanted.Account == Account.Name &&
        Wanted.Priority != JobPriority::Surplus &&
        (Planned ? Job->Guaranteed : Job->Phase == JobPhase::Running))
      Gangs.push_back(Wanted.Accelerators);
  }
  std::sort(Gangs.begin(), Gangs.end(), std::greater<>());
  for (auto Size : Gangs) {
    std::uint32_t *Best = nullptr;
    for (auto &[Shape, Units] : Room)
      for (auto &Left : Units)
        if (Left >= Size && (Best == nullptr || Left < *Best))
          Best = &Left;
    if (Best != nullptr)
      *Best -= Size;
  }
  for (const auto &Shape : Account.Guarantees) {
    const auto &Units = Room[Shape.Accelerators];
    const auto Unused = static_cast<std::uint32_t>(
        std::count(Units.begin(), Units.end(), Shape.Accelerators));
    for (std::uint32_t Index = 0; Index < Unused; ++Index) {
      const auto Id = "probe-" + std::to_string(Number) + "-" +
                      std::to_string(Shape.Accelerators) + "-" +
                      std::to_string(Index);
      if (!Scheduler.submit(
              {Id, Account.Name, Shape.Accelerators, JobPriority::Urgent, true},
              time()))
        continue;
      Work[Id] = {Now, ProbeRuns, 0, true, false};
      push(Now + ProbeBound, EventKind::ProbeCheck, Id);
    }
  }
}

auto PlacementSimulation::decide() -> void {
  const auto ProcessorBefore = processorTime();
  const auto Before = std::chrono::steady_clock::now();
  const auto Decisions = Scheduler.decide(time());
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Before;
  const auto ProcessorTook = processorTime() - ProcessorBefore;
  bool Placed = false;
  for (const auto &Made : Decisions) {
    Placed = Placed || std::holds_alternative<StartGang>(Made) ||
             std::holds_alternative<ReclaimGangs>(Made);
    carryOut(Made);
  }
  if (Placed) {
    DecisionTimes.push_back(Took.count());
    ProcessorTimes.push_back(ProcessorTook);
  }
  Idle = idleWhileFitting();
  Surplus = 0;
  for (const auto &Id : Scheduler.jobIds())
    if (Scheduler.findJob(Id)->Phase == JobPhase::Pending) {
      Surplus = Scheduler.acceleratorCounts().HeldBySurplusGangs;
      break;
    }
}

auto PlacementSimulation::carryOut(const Decision &Made) -> void {
  if (const auto *Start = std::get_if<StartGang>(&Made)) {
    auto &Entry = Work.at(Start->Job);
    Entry.StartedAt = Now;
    Entry.Guaranteed = Start->Guaranteed;
    push(Now + Entry.Remaining, EventKind::Finish, Start->Job, Start->Attempt);
  } else if (const auto *Reclaim = std::get_if<ReclaimGangs>(&Made)) {
    for (const auto &Victim : Reclaim->Victims) {
      ++Report.ReclaimedGangs;
      pauseWork(Victim.Job);
      push(Now + ReclaimSeconds, EventKind::Stopped, Victim.Job,
           Victim.Attempt);
    }
  } else if (const auto *Stop = std::get_if<StopGang>(&Made)) {
    pauseWork(Stop->Job);
    push(Now + (Work.at(Stop->Job).Guaranteed ? GuaranteedLeaseSeconds
                                              : SurplusLeaseSeconds),
         EventKind::Stopped, Stop->Job, Stop->Attempt);
  } else if (const auto *End = std::get_if<EndJob>(&Made)) {
    Work.erase(End->Job);
  }
}

auto PlacementSimulation::pauseWork(const std::string &Job) -> void {
  auto &Entry = Work.at(Job);
  Entry.Remaining =
      std::max(1.0, Entry.Remaining - (Now - Entry.StartedAt)) + RestartCost;
}

auto PlacementSimulation::idleWhileFitting() const -> std::uint32_t {
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
    const auto &Wanted = Job->Specification;
    if (Job->Phase == JobPhase::Running || Job->Phase == JobPhase::Stopping ||
        Wanted.Accelerators > Unused)
      continue;
    if (Finder.findBest({Wanted.Accelerators, Wanted.Adjacent, {}}, Current))
      Fitting += Wanted.Accelerators;
    if (Fitting >= Unused)
      return Unused;
  }
  return Fitting;
}

} // namespace jayramp
