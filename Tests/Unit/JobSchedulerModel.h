#pragma once

#include "ExactPacking.h"
#include "Jobs/JobScheduler.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jayramp {

/// What the random sequences reached, so that an empty check is noticed.
struct Coverage {
  std::uint64_t Steps = 0;
  std::uint64_t Starts = 0;
  std::uint64_t GuaranteedStarts = 0;
  std::uint64_t Victims = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Degraded = 0;
  std::uint64_t ExactChecks = 0;
  std::uint64_t Quarantines = 0;
  std::uint64_t AccountChanges = 0;
  std::uint64_t TopologyChanges = 0;
};

inline Coverage Reached;

/// Carries out the decisions on a model of the workers and checks each one.
class JobSchedulerModel {
public:
  using Place = std::pair<std::string, std::uint32_t>;

  JobSchedulerModel(Topology Installed, std::vector<AccountPolicy> Accounts)
      : Scheduler(JobScheduler::make(Installed, Accounts, policy())),
        Accounts(std::move(Accounts)), Listed(Installed.workers()) {}

  static auto policy() -> SchedulerPolicy {
    SchedulerPolicy Policy;
    Policy.PassingLimit = Milliseconds(20'000);
    return Policy;
  }

  auto step(std::uint32_t Kind, std::uint32_t Left, std::uint32_t Right)
      -> void {
    Now += Milliseconds(1000 + Right % 5000);
    ++Reached.Steps;
    switch (Kind) {
    case 0:
    case 1:
    case 2:
    case 3:
      submit(Left, Right);
      break;
    case 4:
    case 5:
      if (const auto *Gang = pick(Left))
        endGang(*Gang, TaskResult::Finished);
      break;
    case 6:
      if (const auto *Gang = pick(Left))
        endGang(*Gang,
                Right % 2 == 0 ? TaskResult::Failed : TaskResult::Finished);
      break;
    case 7:
      if (!Running.empty() && Left % 2 == 0)
        Scheduler.cancel(pick(Right)->Job);
      else if (Right % 2 == 0)
        Scheduler.markWorkerLost(worker(Left));
      else
        Scheduler.markWorkerLeaving(worker(Left));
      break;
    case 8:
      Scheduler.markWorkerReturned(worker(Left));
      break;
    case 9:
      changeAccounts(Left);
      break;
    case 10:
      changeTopology(Left);
      break;
    default:
      confirmStops(Left);
      break;
    }
    carryOut(Scheduler.decide(Now));
    checkPlan();
    checkReclaim();
  }

private:
  struct Gang {
    std::string Job;
    std::uint32_t Attempt = 0;
    std::vector<Place> Places;
    bool Guaranteed = false;
    bool Stopping = false;
  };

  auto submit(std::uint32_t Left, std::uint32_t Right) -> void {
    const auto &Account = Accounts[Left % Accounts.size()];
    JobSpecification Job;
    Job.Id = "j" + std::to_string(++Submitted);
    Job.Account = Account.Name;
    Job.Priority = static_cast<JobPriority>(Right % 3);
    Job.Adjacent = (Right / 3) % 2 == 0;
    Job.Accelerators = 1 + (Left / 7) % 6;
    Sizes[Job.Id] = Job.Accelerators;
    const auto Accepted = Scheduler.submit(Job, Now);
    RC_ASSERT(Accepted.has_value() ==
              Scheduler.checkSubmission(Job).has_value());
  }

  auto changeAccounts(std::uint32_t Left) -> void {
    if (Left % 4 != 0)
      return;
    auto &Guarantees = Accounts[1].Guarantees;
    if (Guarantees.empty())
      Guarantees = {{1 + Left % 3, 1}};
    else
      Guarantees.clear();
    Scheduler.changeAccounts(Accounts);
    ++Reached.AccountChanges;
    refreshGuaranteed();
  }

  auto changeTopology(std::uint32_t Left) -> void {
    auto &Workers = Listed;
    if (Removed) {
      Workers.push_back(*Removed);
      Removed.reset();
    } else if (Workers.size() > 1) {
      const auto At =
          Workers.begin() + static_cast<long>(Left % Workers.size());
      Removed = *At;
      Workers.erase(At);
    }
    Scheduler.changeTopology(Topology::make(Workers).value());
    ++Reached.TopologyChanges;
    refreshGuaranteed();
  }

  // A change may make guaranteed gangs reclaimable, never the reverse.
  auto refreshGuaranteed() -> void {
    for (auto &[Id, Gang] : Running) {
      const bool Guaranteed = Scheduler.findJob(Id)->Guaranteed;
      RC_ASSERT(Gang.Guaranteed || !Guaranteed);
      Gang.Guaranteed = Guaranteed;
    }
  }

  auto pick(std::uint32_t Left) -> const Gang * {
    if (Running.empty())
      return nullptr;
    auto Found = Running.begin();
    std::advance(Found, Left % Running.size());
    return &Found->second;
  }

  auto worker(std::uint32_t Left) -> std::string {
    const auto &Workers = Scheduler.topology().workers();
    return Workers[Left % Workers.size()].Name;
  }

  auto endGang(Gang Ended, TaskResult Result) -> void {
    std::set<std::string> Workers;
    for (const auto &Entry : Ended.Places)
      Workers.insert(Entry.first);
    // Everything fails on the first worker, so that it is quarantined.
    if (Workers.count(worker(0)) != 0U)
      Result = TaskResult::Failed;
    if (Result == TaskResult::Finished) {
      Running.erase(Ended.Job);
      for (const auto &Name : Workers)
        Scheduler.recordTaskEnd({Ended.Job, Ended.Attempt, Name, Result}, Now);
      // A gang that lost a member to a topology change still has to stop.
      if (Scheduler.findJob(Ended.Job) != nullptr) {
        RC_ASSERT(Ended.Stopping);
        Running[Ended.Job] = Ended;
      }
      return;
    }
    Scheduler.recordTaskEnd(
        {Ended.Job, Ended.Attempt, *Workers.begin(), Result}, Now);
    if (!Ended.Stopping)
      RC_ASSERT(Scheduler.findJob(Ended.Job)->Phase == JobPhase::Stopping);
  }

  auto confirmStops(std::uint32_t Left) -> void {
    for (auto Entry = Running.begin(); Entry != Running.end();) {
      if (!Entry->second.Stopping || Left++ % 4 == 0) {
        ++Entry;
        continue;
      }
      const auto Stopped = Entry->second;
      Entry = Running.erase(Entry);
      Scheduler.recordGangStopped(Stopped.Job, Stopped.Attempt);
    }
  }

  auto carryOut(const std::vector<Decision> &Decisions) -> void {
    for (const auto &Next : Decisions)
      std::visit([this](const auto &Made) { apply(Made); }, Next);
  }

  auto apply(const StartGang &Start) -> void {
    RC_ASSERT(Start.Placement.size() == Sizes.at(Start.Job));
    RC_ASSERT(Running.count(Start.Job) == 0U);
    ++Reached.Starts;
    Reached.GuaranteedStarts += Start.Guaranteed ? 1 : 0;
    Gang Started{Start.Job, Start.Attempt, {}, Start.Guaranteed, false};
    std::set<Place> Held;
    for (const auto &[Job, Other] : Running)
      Held.insert(Other.Places.begin(), Other.Places.end());
    for (const auto &Entry : Start.Placement) {
      RC_ASSERT(Scheduler.workerState(Entry.Worker) == WorkerState::Live);
      RC_ASSERT(Held.insert({Entry.Worker, Entry.Accelerator}).second);
      Started.Places.emplace_back(Entry.Worker, Entry.Accelerator);
    }
    Running[Start.Job] = Started;
  }

  auto apply(const ReclaimGangs &Reclaim) -> void {
    RC_ASSERT(Reclaim.Placement.size() == Sizes.at(Reclaim.Job));
    std::set<Place> Wanted;
    for (const auto &Entry : Reclaim.Placement)
      Wanted.insert({Entry.Worker, Entry.Accelerator});
    std::set<std::string> Expected;
    for (const auto &[Job, Other] : Running)
      if (!Other.Stopping &&
          std::any_of(Other.Places.begin(), Other.Places.end(),
                      [&](const auto &Entry) { return Wanted.count(Entry); })) {
        RC_ASSERT(!Other.Guaranteed);
        Expected.insert(Job);
      }
    std::set<std::string> Victims;
    for (const auto &Victim : Reclaim.Victims) {
      Victims.insert(Victim.Job);
      Running.at(Victim.Job).Stopping = true;
    }
    RC_ASSERT(Victims == Expected);
    Reached.Victims += Victims.size();
  }

  auto apply(const StopGang &Stop) -> void {
    Running.at(Stop.Job).Stopping = true;
  }
  auto apply(const EndJob &End) -> void {
    RC_ASSERT(Running.count(End.Job) == 0U);
  }
  auto apply(const QuarantineWorker &Made) -> void {
    RC_ASSERT(Made.FailedJobs.size() >= 1U);
    ++Reached.Quarantines;
  }

  // Blocks are disjoint, on live workers and free of other guaranteed gangs,
  // and no shape that fits is reported as degraded.
  auto checkPlan() -> void {
    const auto &Pool = Scheduler.acceleratorPool();
    std::set<std::uint32_t> Blocks;
    std::vector<std::uint8_t> Open = Pool.usable();
    std::vector<std::uint32_t> Unused;
    bool PartlyUsed = false;
    bool Degraded = false;
    for (const auto &[Id, Unit] : Scheduler.guaranteePlan().shapes()) {
      const std::set<std::uint32_t> Held(Unit.Held.begin(), Unit.Held.end());
      for (auto Index : Unit.Held)
        Open[Index] = 0;
      for (auto Index : Unit.Block) {
        RC_ASSERT(Blocks.insert(Index).second);
        RC_ASSERT(Held.count(Index) != 0U || Pool.isUsable(Index));
      }
      Degraded = Degraded || Unit.Block.empty();
      PartlyUsed = PartlyUsed || (!Held.empty() && Held.size() < Unit.Size);
      if (Held.empty())
        Unused.push_back(Unit.Size);
    }
    Reached.Degraded += Degraded ? 1 : 0;
    Reached.ExactChecks += Degraded && !PartlyUsed ? 1 : 0;
    if (Degraded && !PartlyUsed)
      RC_ASSERT(!ExactPacking(Scheduler.topology(), Open).fits(Unused));
  }

  // On a copy: all unused shapes that are not degraded are claimed at once, and
  // each must get its whole block without waiting for a guaranteed gang.
  auto checkReclaim() -> void {
    auto Copy = Scheduler;
    for (const auto &Id : Copy.jobIds())
      if (Copy.findJob(Id)->Phase == JobPhase::Pending)
        Copy.cancel(Id);
    std::vector<std::string> Probes;
    for (const auto &[Id, Unit] : Scheduler.guaranteePlan().shapes())
      if (Unit.Held.empty() && !Unit.Block.empty()) {
        Probes.push_back("probe" + std::to_string(Id));
        RC_ASSERT(Copy.submit({Probes.back(), Unit.Account, Unit.Size,
                               JobPriority::Guaranteed, true, Milliseconds(0)},
                              Now)
                      .has_value());
      }
    Copy.decide(Now);
    Reached.Probes += Probes.size();
    for (const auto &Probe : Probes) {
      const auto *Job = Copy.findJob(Probe);
      RC_ASSERT(Job != nullptr);
      RC_ASSERT(Job->Phase != JobPhase::Pending);
      RC_ASSERT(Job->Guaranteed);
    }
  }

  JobScheduler Scheduler;
  std::vector<AccountPolicy> Accounts;
  std::map<std::string, Gang> Running;
  std::map<std::string, std::uint32_t> Sizes;
  TimePoint Now{};
  std::uint32_t Submitted = 0;
  std::vector<WorkerDescription> Listed;
  std::optional<WorkerDescription> Removed;
};

} // namespace jayramp
