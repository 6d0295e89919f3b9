#include "Jobs/JobScheduler.h"

#include "Jobs/GangPlacer.h"
#include "Jobs/WaitExplanation.h"

#include <algorithm>
#include <map>
#include <set>

namespace jayramp {
namespace {

auto cancelledReport() -> WaitReport {
  return {WaitReason::Cancelled, "cancelled by the caller",
          "submit it again under a new key"};
}

} // namespace

auto JobScheduler::make(Topology Installed, std::vector<AccountPolicy> Accounts,
                        SchedulerPolicy Policy) -> JobScheduler {
  return JobScheduler(
      SchedulerState(std::move(Installed), std::move(Accounts), Policy));
}

auto JobScheduler::submit(const JobSpecification &Job, TimePoint Now)
    -> Result<void> {
  if (State.find(Job.Id) != nullptr)
    return success();
  BOOST_OUTCOME_TRYV(checkSubmission(Job));
  RestoredJob Row;
  Row.Specification = Job;
  Row.SubmittedAt = Now;
  return restore(Row);
}

auto JobScheduler::restore(const RestoredJob &Row) -> Result<void> {
  const auto &Id = Row.Specification.Id;
  if (State.find(Id) != nullptr)
    return success();
  JobRecord Job;
  Job.Specification = Row.Specification;
  Job.Attempt = Row.Attempt;
  Job.SubmittedAt = Row.SubmittedAt;
  Job.StartedAt = Row.StartedAt;
  Job.FailedWorkers.insert(Row.FailedWorkers.begin(), Row.FailedWorkers.end());
  Job.Failures = Row.Failures;
  Job.CurrentWaitReason = WaitReason::WaitingForCapacity;
  std::vector<std::int32_t> Units;
  std::set<std::uint32_t> Seen;
  bool MemberGone = false;
  for (const auto &Place : Row.Placement) {
    const auto Worker = State.Installed.findWorker(Place.Worker);
    if (!Worker ||
        Place.Accelerator >= State.Installed.workerRanges()[*Worker].Count) {
      MemberGone = true;
      continue;
    }
    const auto Index =
        State.Installed.workerRanges()[*Worker].First + Place.Accelerator;
    if (!Seen.insert(Index).second ||
        State.Pool.holder(Index) != AcceleratorPool::NoJob)
      return Error::make(ErrorKind::InvalidArgument,
                         "jobs[" + Id + "].placement",
                         "accelerator " + std::to_string(Place.Accelerator) +
                             " of worker " + Place.Worker + " is held twice",
                         "return one of the jobs to PENDING");
    MemberGone = MemberGone || State.Lost[*Worker];
    Job.Accelerators.push_back(Index);
    for (const auto &[Unit, Shape] : State.Plan.shapes())
      if (Shape.Account == Row.Specification.Account &&
          Shape.Ordinal == Place.GuaranteedShapeIndex)
        Units.push_back(Unit);
  }
  // Guaranteed only if every place still belongs to a shape with enough room;
  // the account may have changed since the row was written.
  std::map<std::int32_t, std::vector<std::uint32_t>> ByUnit;
  bool Guaranteed = !Units.empty() && Units.size() == Job.Accelerators.size();
  if (Guaranteed) {
    for (std::size_t Index = 0; Index < Units.size(); ++Index)
      ByUnit[Units[Index]].push_back(Job.Accelerators[Index]);
    for (const auto &[Unit, Held] : ByUnit) {
      const auto &Shape = State.Plan.shapes().at(Unit);
      Guaranteed = Guaranteed && Shape.Held.size() + Held.size() <= Shape.Size;
    }
  }
  Job.Key = State.NextKey++;
  if (!Row.Placement.empty()) {
    Job.Phase = JobPhase::Running;
    Job.CurrentWaitReason = WaitReason::None;
    Job.StartSequence = State.NextStart++;
    State.Pool.hold(Job.Accelerators, Job.Key);
    State.Holdings[Job.Specification.Account] +=
        static_cast<std::uint32_t>(Job.Accelerators.size());
    if (Guaranteed) {
      Job.Guaranteed = true;
      Job.GuaranteeUnits = std::move(Units);
      for (const auto &[Unit, Held] : ByUnit)
        State.Plan.hold(Unit, Held);
      State.PlanIsStale = true;
    }
  }
  State.Keys.emplace(Id, Job.Key);
  auto &Stored = State.Jobs.emplace(Job.Key, std::move(Job)).first->second;
  if (MemberGone)
    State.stop(Stored, WaitReason::MemberLost,
               "a worker of the placement is lost or no longer listed");
  State.RecheckPending = true;
  return success();
}

auto JobScheduler::cancel(const std::string &Id) -> void {
  auto *Job = State.find(Id);
  if (Job == nullptr)
    return;
  Job->CancelRequested = true;
  if (Job->Phase == JobPhase::Running)
    State.stop(*Job, WaitReason::Cancelled, "cancelled by the caller");
  if (Job->Phase == JobPhase::Stopping)
    return;
  if (Job->Phase == JobPhase::Reclaiming)
    State.endReservation(*Job);
  State.end(*Job, JobOutcome::Cancelled, cancelledReport());
}

auto JobScheduler::recordTaskEnd(const TaskEnd &End, TimePoint Now) -> void {
  auto *Job = State.find(End.Job);
  const auto Worker = State.Installed.findWorker(End.Worker);
  if (Job == nullptr || !Worker || Job->Attempt != End.Attempt ||
      (Job->Phase != JobPhase::Running && Job->Phase != JobPhase::Stopping))
    return;
  const auto Workers = State.workersOf(*Job);
  if (std::find(Workers.begin(), Workers.end(), *Worker) == Workers.end())
    return;
  if (End.Result == TaskResult::Failed) {
    // A task may also fail because its gang is being stopped, so only the first
    // failure of an attempt counts.
    if (Job->Phase == JobPhase::Running)
      recordFailure(*Job, End.Worker, Now);
    return;
  }
  Job->FinishedWorkers.insert(*Worker);
  State.Faults.recordSuccess(End.Worker);
  // A gang that lost members to a change of the topology has not succeeded.
  if (Job->FinishedWorkers.size() < Workers.size() ||
      Job->Accelerators.size() < Job->Specification.Accelerators)
    return;
  State.release(*Job);
  State.end(*Job, JobOutcome::Succeeded, {});
}

auto JobScheduler::recordFailure(JobRecord &Job, const std::string &Worker,
                                 TimePoint Now) -> void {
  const auto &Id = Job.Specification.Id;
  ++Job.Failures;
  Job.FailedWorkers.insert(Worker);
  State.stop(Job, WaitReason::WorkerFailed, "a task failed on " + Worker);
  if (Job.FailedWorkers.size() >= State.Policy.FailedWorkerLimit) {
    // The job is at fault, not the workers.
    State.Faults.forgetJob(Id);
    return;
  }
  const auto Caused = State.Faults.recordFailure(Worker, Id, Now, State.Policy);
  if (!Caused)
    return;
  // The worker is at fault, not the jobs.
  for (const auto &Other : Caused->Jobs)
    if (auto *Failed = State.find(Other))
      Failed->FailedWorkers.erase(Worker);
  State.Outbox.emplace_back(
      QuarantineWorker{Worker, Caused->Delay, Caused->Jobs});
  State.refreshUsable();
}

auto JobScheduler::recordGangStopped(const std::string &Id,
                                     std::uint32_t Attempt) -> void {
  auto *Job = State.find(Id);
  if (Job == nullptr || Job->Attempt != Attempt ||
      Job->Phase == JobPhase::Pending)
    return;
  if (Job->Phase == JobPhase::Reclaiming) {
    State.endReservation(*Job);
    return;
  }
  State.release(*Job);
  finishStop(*Job);
}

auto JobScheduler::finishStop(JobRecord &Job) -> void {
  if (Job.CancelRequested) {
    State.end(Job, JobOutcome::Cancelled, cancelledReport());
  } else if (Job.FailedWorkers.size() >= State.Policy.FailedWorkerLimit) {
    std::string Names;
    for (const auto &Name : Job.FailedWorkers)
      Names += (Names.empty() ? "" : ", ") + Name;
    State.end(Job, JobOutcome::Failed,
              {WaitReason::FailedOnDistinctWorkers, "failed on " + Names,
               "correct the job and submit it under a new key"});
  } else if (Job.Failures >= State.Policy.FailureLimit) {
    State.end(Job, JobOutcome::Failed,
              {WaitReason::WorkerFailed,
               "failed " + std::to_string(Job.Failures) + " times",
               "correct the job and submit it under a new key"});
  }
}

auto JobScheduler::markWorkerLost(const std::string &Name) -> void {
  const auto Worker = State.Installed.findWorker(Name);
  if (!Worker || State.Lost[*Worker])
    return;
  State.Lost[*Worker] = true;
  for (auto &[Key, Job] : State.Jobs) {
    if (Job.Phase != JobPhase::Running || Job.FinishedWorkers.count(*Worker))
      continue;
    const auto Workers = State.workersOf(Job);
    if (std::find(Workers.begin(), Workers.end(), *Worker) != Workers.end())
      State.stop(Job, WaitReason::MemberLost, "worker " + Name + " is lost");
  }
  State.refreshUsable();
}

auto JobScheduler::markWorkerLeaving(const std::string &Name) -> void {
  const auto Worker = State.Installed.findWorker(Name);
  if (!Worker || State.Leaving[*Worker])
    return;
  State.Leaving[*Worker] = true;
  State.refreshUsable();
}

auto JobScheduler::markWorkerReturned(const std::string &Name) -> void {
  const auto Worker = State.Installed.findWorker(Name);
  if (!Worker || (!State.Lost[*Worker] && !State.Leaving[*Worker]))
    return;
  State.Lost[*Worker] = false;
  State.Leaving[*Worker] = false;
  State.refreshUsable();
}

auto JobScheduler::changeAccounts(std::vector<AccountPolicy> Accounts) -> void {
  State.Accounts = std::move(Accounts);
  State.Plan.setAccounts(State.Accounts);
  for (auto &[Key, Job] : State.Jobs) {
    const bool Kept = std::all_of(
        Job.GuaranteeUnits.begin(), Job.GuaranteeUnits.end(),
        [this](auto Unit) { return State.Plan.shapes().count(Unit) != 0; });
    if (Kept)
      continue;
    if (Job.Phase == JobPhase::Reclaiming)
      State.endReservation(Job);
    else
      State.demote(Job);
  }
  State.repairPlan();
  State.RecheckPending = true;
}

auto JobScheduler::changeTopology(Topology Installed) -> void {
  // Tasks on a worker that is gone may run until their leases end. It stays
  // known, as lost, so that its accelerators are not given out again if it is
  // listed again before that.
  auto Listed = Installed.workers();
  std::set<std::string> Retained;
  for (std::uint32_t Index = 0; Index < State.Pool.size(); ++Index) {
    const auto &Worker =
        State.Installed.workers()[State.Installed.workerOf(Index)];
    if (State.Pool.holder(Index) != AcceleratorPool::NoJob &&
        !Installed.findWorker(Worker.Name) &&
        Retained.insert(Worker.Name).second)
      Listed.push_back(Worker);
  }
  if (!Retained.empty())
    Installed = Topology::make(std::move(Listed)).value();
  const auto Old = std::exchange(State.Installed, std::move(Installed));
  const auto &New = State.Installed;
  const auto Workers = New.workers().size();
  const auto OldLost = std::exchange(State.Lost, std::vector(Workers, false));
  const auto OldLeaving =
      std::exchange(State.Leaving, std::vector(Workers, false));
  std::vector<std::optional<std::uint32_t>> Moved;
  for (std::uint32_t Worker = 0; Worker < Old.workers().size(); ++Worker) {
    Moved.push_back(New.findWorker(Old.workers()[Worker].Name));
    if (Moved.back()) {
      State.Lost[*Moved.back()] =
          OldLost[Worker] &&
          State.Retained.count(Old.workers()[Worker].Name) == 0;
      State.Leaving[*Moved.back()] = OldLeaving[Worker];
    }
  }
  State.Pool = AcceleratorPool::make(New.acceleratorCount());
  State.Plan.clearPlaces();
  std::vector<JobRecord *> Broken;
  for (auto &[Key, Job] : State.Jobs) {
    std::vector<std::uint32_t> Places;
    std::vector<std::int32_t> Units;
    for (std::size_t Index = 0; Index < Job.Accelerators.size(); ++Index) {
      const auto Worker = Old.workerOf(Job.Accelerators[Index]);
      const auto Offset =
          Job.Accelerators[Index] - Old.workerRanges()[Worker].First;
      if (!Moved[Worker] || Offset >= New.workerRanges()[*Moved[Worker]].Count)
        continue;
      Places.push_back(New.workerRanges()[*Moved[Worker]].First + Offset);
      if (Job.Guaranteed) {
        Units.push_back(Job.GuaranteeUnits[Index]);
        State.Plan.hold(Units.back(), {Places.back()});
      }
    }
    std::set<std::uint32_t> Finished;
    for (auto Worker : Job.FinishedWorkers)
      if (Moved[Worker])
        Finished.insert(*Moved[Worker]);
    if (Places.size() < Job.Accelerators.size())
      Broken.push_back(&Job);
    State.Holdings[Job.Specification.Account] -=
        static_cast<std::uint32_t>(Job.Accelerators.size() - Places.size());
    Job.Accelerators = std::move(Places);
    Job.GuaranteeUnits = std::move(Units);
    Job.FinishedWorkers = std::move(Finished);
    if (Job.Phase == JobPhase::Reclaiming)
      State.Pool.reserve(Job.Accelerators, Job.Key);
    else
      State.Pool.hold(Job.Accelerators, Job.Key);
  }
  State.Retained = Retained;
  State.refreshUsable();
  for (const auto &Name : Retained)
    markWorkerLost(Name);
  for (auto *Job : Broken) {
    if (Job->Phase == JobPhase::Reclaiming)
      State.endReservation(*Job);
    else if (Job->Phase == JobPhase::Running)
      State.stop(*Job, WaitReason::MemberLost,
                 "a worker of the placement is no longer listed");
  }
  State.RecheckPending = true;
}

auto JobScheduler::reportUsage(const UsageReport &Report) -> bool {
  auto *Job = State.find(Report.Job);
  if (Job == nullptr || Job->Phase != JobPhase::Running ||
      Report.ObservedAt < Job->StartedAt)
    return false;
  if (Job->LastUsage && Job->LastUsage->ObservedAt >= Job->StartedAt &&
      Report.ObservedAt < Job->LastUsage->ObservedAt)
    return false;
  Job->LastUsage = Report;
  return true;
}

auto JobScheduler::decide(TimePoint Now) -> std::vector<Decision> {
  if (State.Faults.expire(Now))
    State.refreshUsable();
  if (State.PlanIsStale)
    State.repairPlan();
  if (State.RecheckPending && State.TopologyComplete)
    rejectImpossible();
  GangPlacer Placer(State, Now);
  Placer.startReserved();
  Placer.placeWaiting();
  return std::exchange(State.Outbox, {});
}

auto JobScheduler::setTopologyComplete(bool Complete) -> void {
  State.TopologyComplete = Complete;
}

auto JobScheduler::rejectImpossible() -> void {
  State.RecheckPending = false;
  std::vector<std::pair<JobRecord *, Error>> Rejected;
  for (auto &[Key, Job] : State.Jobs) {
    if (Job.Phase != JobPhase::Pending)
      continue;
    auto Checked = checkSubmission(Job.Specification);
    if (!Checked)
      Rejected.emplace_back(&Job, Checked.error());
  }
  for (const auto &[Job, Cause] : Rejected)
    State.end(*Job, JobOutcome::Rejected,
              {WaitReason::CanNeverRun, Cause.place() + ": " + Cause.detail(),
               Cause.remedy()});
}

auto JobScheduler::checkSubmission(const JobSpecification &Job) const
    -> Result<void> {
  const auto Size = std::to_string(Job.Accelerators);
  if (Job.Accelerators == 0 || Job.Accelerators > Topology::MaxGangSize)
    return Error::make(ErrorKind::InvalidArgument, "accelerators",
                       Size + " is outside 1 to 64",
                       "ask for 1 to 64 accelerators");
  const auto *Account = State.policyOf(Job.Account);
  if (Account == nullptr)
    return Error::make(ErrorKind::NotFound, "account",
                       "there is no account \"" + Job.Account + "\"",
                       "use an account of the configuration");
  if (Job.Adjacent && !State.Installed.scopeOf(Job.Accelerators))
    return Error::make(ErrorKind::Rejected, "accelerators",
                       "no availability zone has " + Size +
                           " adjacent accelerators",
                       "ask for fewer, or not for adjacent ones");
  if (Job.Accelerators > State.Installed.acceleratorCount())
    return Error::make(ErrorKind::Rejected, "accelerators",
                       "only " +
                           std::to_string(State.Installed.acceleratorCount()) +
                           " are installed, " + Size + " were asked for",
                       "ask for fewer");
  const auto Guaranteed =
      Job.Priority == JobPriority::Surplus ? 0 : Account->guaranteedTotal();
  if (Account->AcceleratorQuota != 0 &&
      Job.Accelerators > std::max(Account->AcceleratorQuota, Guaranteed))
    return Error::make(ErrorKind::Rejected, "accelerators",
                       Size + " exceeds the account's quota of " +
                           std::to_string(Account->AcceleratorQuota),
                       "ask for fewer, or ask an operator for a higher quota");
  return success();
}

auto JobScheduler::waitReport(const std::string &Id) const
    -> std::optional<WaitReport> {
  const auto *Job = State.find(Id);
  if (Job == nullptr)
    return std::nullopt;
  return explainWait(State, *Job);
}

auto JobScheduler::findJob(const std::string &Id) const -> const JobRecord * {
  return State.find(Id);
}

auto JobScheduler::jobIds() const -> std::vector<std::string> {
  std::vector<std::string> Ids;
  for (const auto &[Key, Job] : State.Jobs)
    Ids.push_back(Job.Specification.Id);
  return Ids;
}

auto JobScheduler::placement(const std::string &Id) const
    -> std::vector<AcceleratorPlace> {
  const auto *Job = State.find(Id);
  return Job == nullptr ? std::vector<AcceleratorPlace>{} : State.places(*Job);
}

auto JobScheduler::workerState(const std::string &Name) const
    -> std::optional<WorkerState> {
  const auto Worker = State.Installed.findWorker(Name);
  if (!Worker)
    return std::nullopt;
  if (State.Lost[*Worker])
    return WorkerState::Lost;
  if (State.Leaving[*Worker])
    return WorkerState::Leaving;
  return State.Faults.isQuarantined(Name) ? WorkerState::Quarantined
                                          : WorkerState::Live;
}

auto JobScheduler::acceleratorCounts() const -> AcceleratorCounts {
  AcceleratorCounts Report;
  Report.Installed = State.Pool.size();
  for (std::uint32_t Index = 0; Index < State.Pool.size(); ++Index) {
    Report.Usable += State.Pool.isUsable(Index) ? 1 : 0;
    Report.Free += State.Pool.isFree(Index) ? 1 : 0;
  }
  for (const auto &[Key, Job] : State.Jobs) {
    const auto Count = static_cast<std::uint32_t>(Job.Accelerators.size());
    if (Job.Phase == JobPhase::Stopping)
      Report.Stopping += Count;
    else if (Job.Phase == JobPhase::Running)
      (Job.Guaranteed ? Report.HeldByGuaranteedGangs
                      : Report.HeldBySurplusGangs) += Count;
  }
  return Report;
}

} // namespace jayramp
