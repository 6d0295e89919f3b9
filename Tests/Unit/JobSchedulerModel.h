#pragma once

#include "ExhaustivePacker.h"
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

/// Counts the cases that the random sequences have covered, so that a check
/// that never applies is noticed.
struct Coverage {
  std::uint64_t Steps = 0;
  std::uint64_t Starts = 0;
  std::uint64_t GuaranteedStarts = 0;
  std::uint64_t Victims = 0;
  std::uint64_t ReclaimProbes = 0;
  std::uint64_t Degraded = 0;
  std::uint64_t ExactChecks = 0;
  std::uint64_t Quarantines = 0;
  std::uint64_t AccountChanges = 0;
  std::uint64_t TopologyChanges = 0;
};

inline Coverage Covered;

/// Applies random events to a JobScheduler, carries out its decisions on a
/// model of the workers and checks each decision.
class JobSchedulerModel {
public:
  using Place = std::pair<std::string, std::uint32_t>;

  JobSchedulerModel(Topology Cluster, std::vector<AccountPolicy> Accounts)
      : Scheduler(JobScheduler::make(Cluster, Accounts, policy())),
        Accounts(std::move(Accounts)), ListedWorkers(Cluster.workers()) {}

  static auto policy() -> SchedulerPolicy {
    SchedulerPolicy Policy;
    Policy.StarvationTimeout = Milliseconds(20'000);
    return Policy;
  }

  /// Applies the event \p EventKind with random parameters, lets the scheduler
  /// decide and checks the result.
  auto step(std::uint32_t EventKind, std::uint32_t RandomValue,
            std::uint32_t OtherRandomValue) -> void {
    Now += Milliseconds(1000 + OtherRandomValue % 5000);
    ++Covered.Steps;
    switch (EventKind) {
    case 0:
    case 1:
    case 2:
    case 3:
      submit(RandomValue, OtherRandomValue);
      break;
    case 4:
    case 5:
      if (const auto *Gang = pickRunningGang(RandomValue))
        endGang(*Gang, TaskResult::Finished);
      break;
    case 6:
      if (const auto *Gang = pickRunningGang(RandomValue))
        endGang(*Gang, OtherRandomValue % 2 == 0 ? TaskResult::Failed
                                                 : TaskResult::Finished);
      break;
    case 7:
      if (!Running.empty() && RandomValue % 2 == 0)
        Scheduler.cancel(pickRunningGang(OtherRandomValue)->Job);
      else if (OtherRandomValue % 2 == 0)
        Scheduler.markWorkerLost(pickWorker(RandomValue));
      else
        Scheduler.markWorkerLeaving(pickWorker(RandomValue));
      break;
    case 8:
      Scheduler.markWorkerReturned(pickWorker(RandomValue));
      break;
    case 9:
      changeAccounts(RandomValue);
      break;
    case 10:
      changeTopology(RandomValue);
      break;
    default:
      confirmSomeStops(RandomValue);
      break;
    }
    carryOut(Scheduler.decide(Now));
    checkGuaranteePlan();
    checkReclaimOfAllGuarantees();
  }

private:
  struct Gang {
    std::string Job;
    std::uint32_t Attempt = 0;
    std::vector<Place> Places;
    bool Guaranteed = false;
    bool Stopping = false;
  };

  auto submit(std::uint32_t RandomValue, std::uint32_t OtherRandomValue)
      -> void {
    const auto &Account = Accounts[RandomValue % Accounts.size()];
    JobSpecification Job;
    Job.Id = "j" + std::to_string(++SubmittedJobs);
    Job.Account = Account.Name;
    Job.Priority = static_cast<JobPriority>(OtherRandomValue % 3);
    Job.Adjacent = (OtherRandomValue / 3) % 2 == 0;
    Job.Accelerators = 1 + (RandomValue / 7) % 6;
    SizeByJob[Job.Id] = Job.Accelerators;
    const auto Accepted = Scheduler.submit(Job, Now);
    RC_ASSERT(Accepted.has_value() ==
              Scheduler.checkSubmission(Job).has_value());
  }

  auto changeAccounts(std::uint32_t RandomValue) -> void {
    if (RandomValue % 4 != 0)
      return;
    auto &Guarantees = Accounts[1].Guarantees;
    if (Guarantees.empty())
      Guarantees = {{1 + RandomValue % 3, 1}};
    else
      Guarantees.clear();
    Scheduler.changeAccounts(Accounts);
    ++Covered.AccountChanges;
    updateGuaranteedFlags();
  }

  auto changeTopology(std::uint32_t RandomValue) -> void {
    auto &Workers = ListedWorkers;
    if (RemovedWorker) {
      Workers.push_back(*RemovedWorker);
      RemovedWorker.reset();
    } else if (Workers.size() > 1) {
      const auto At =
          Workers.begin() + static_cast<long>(RandomValue % Workers.size());
      RemovedWorker = *At;
      Workers.erase(At);
    }
    Scheduler.changeTopology(Topology::make(Workers).value());
    ++Covered.TopologyChanges;
    updateGuaranteedFlags();
  }

  // A change of accounts or topology may make guaranteed gangs reclaimable, but
  // never the reverse.
  auto updateGuaranteedFlags() -> void {
    for (auto &[Id, Gang] : Running) {
      const bool Guaranteed = Scheduler.findJob(Id)->Guaranteed;
      RC_ASSERT(Gang.Guaranteed || !Guaranteed);
      Gang.Guaranteed = Guaranteed;
    }
  }

  auto pickRunningGang(std::uint32_t RandomValue) -> const Gang * {
    if (Running.empty())
      return nullptr;
    auto Found = Running.begin();
    std::advance(Found, RandomValue % Running.size());
    return &Found->second;
  }

  auto pickWorker(std::uint32_t RandomValue) -> std::string {
    const auto &Workers = Scheduler.topology().workers();
    return Workers[RandomValue % Workers.size()].Name;
  }

  auto endGang(Gang Ended, TaskResult Result) -> void {
    std::set<std::string> Workers;
    for (const auto &Entry : Ended.Places)
      Workers.insert(Entry.first);
    // All tasks on the first worker fail, so that it is quarantined.
    if (Workers.count(pickWorker(0)) != 0U)
      Result = TaskResult::Failed;
    if (Result == TaskResult::Finished) {
      Running.erase(Ended.Job);
      for (const auto &Name : Workers)
        Scheduler.recordTaskEnd({Ended.Job, Ended.Attempt, Name, Result}, Now);
      // A gang that lost accelerators in a topology change must still be
      // stopped.
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

  auto confirmSomeStops(std::uint32_t RandomValue) -> void {
    for (auto Entry = Running.begin(); Entry != Running.end();) {
      if (!Entry->second.Stopping || RandomValue++ % 4 == 0) {
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
    RC_ASSERT(Start.Placement.size() == SizeByJob.at(Start.Job));
    RC_ASSERT(Running.count(Start.Job) == 0U);
    ++Covered.Starts;
    Covered.GuaranteedStarts += Start.Guaranteed ? 1 : 0;
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
    RC_ASSERT(Reclaim.Placement.size() == SizeByJob.at(Reclaim.Job));
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
    Covered.Victims += Victims.size();
  }

  auto apply(const StopGang &Stop) -> void {
    Running.at(Stop.Job).Stopping = true;
  }
  auto apply(const EndJob &End) -> void {
    RC_ASSERT(Running.count(End.Job) == 0U);
  }
  auto apply(const QuarantineWorker &Made) -> void {
    RC_ASSERT(Made.FailedJobs.size() >= 1U);
    ++Covered.Quarantines;
  }

  // Checks that the blocks are disjoint, on live workers and free of other
  // guaranteed gangs, and that no shape that fits is reported as degraded.
  auto checkGuaranteePlan() -> void {
    const auto &Pool = Scheduler.acceleratorPool();
    std::set<std::uint32_t> Blocks;
    std::vector<std::uint8_t> Available = Pool.usable();
    std::vector<std::uint32_t> Unused;
    bool PartlyUsed = false;
    bool Degraded = false;
    for (const auto &[Id, Shape] : Scheduler.guaranteePlan().shapes()) {
      const std::set<std::uint32_t> Held(Shape.HeldAccelerators.begin(),
                                         Shape.HeldAccelerators.end());
      for (auto Index : Shape.HeldAccelerators)
        Available[Index] = 0;
      for (auto Index : Shape.Block) {
        RC_ASSERT(Blocks.insert(Index).second);
        RC_ASSERT(Held.count(Index) != 0U || Pool.isUsable(Index));
      }
      Degraded = Degraded || Shape.Block.empty();
      PartlyUsed = PartlyUsed || (!Held.empty() && Held.size() < Shape.Size);
      if (Held.empty())
        Unused.push_back(Shape.Size);
    }
    Covered.Degraded += Degraded ? 1 : 0;
    Covered.ExactChecks += Degraded && !PartlyUsed ? 1 : 0;
    if (Degraded && !PartlyUsed)
      RC_ASSERT(
          !ExhaustivePacker(Scheduler.topology(), Available).fits(Unused));
  }

  // Claims all unused shapes that are not degraded at once, on a copy of the
  // scheduler. Each claim must get its whole block without waiting for a
  // guaranteed gang.
  auto checkReclaimOfAllGuarantees() -> void {
    auto SchedulerCopy = Scheduler;
    for (const auto &Id : SchedulerCopy.jobIds())
      if (SchedulerCopy.findJob(Id)->Phase == JobPhase::Pending)
        SchedulerCopy.cancel(Id);
    std::vector<std::string> ReclaimProbes;
    for (const auto &[Id, Shape] : Scheduler.guaranteePlan().shapes())
      if (Shape.HeldAccelerators.empty() && !Shape.Block.empty()) {
        ReclaimProbes.push_back("probe" + std::to_string(Id));
        RC_ASSERT(SchedulerCopy
                      .submit({ReclaimProbes.back(), Shape.Account, Shape.Size,
                               JobPriority::Guaranteed, true, Milliseconds(0)},
                              Now)
                      .has_value());
      }
    SchedulerCopy.decide(Now);
    Covered.ReclaimProbes += ReclaimProbes.size();
    for (const auto &Probe : ReclaimProbes) {
      const auto *Job = SchedulerCopy.findJob(Probe);
      RC_ASSERT(Job != nullptr);
      RC_ASSERT(Job->Phase != JobPhase::Pending);
      RC_ASSERT(Job->Guaranteed);
    }
  }

  JobScheduler Scheduler;
  std::vector<AccountPolicy> Accounts;
  std::map<std::string, Gang> Running;
  std::map<std::string, std::uint32_t> SizeByJob;
  TimePoint Now{};
  std::uint32_t SubmittedJobs = 0;
  std::vector<WorkerDescription> ListedWorkers;
  std::optional<WorkerDescription> RemovedWorker;
};

} // namespace jayramp
