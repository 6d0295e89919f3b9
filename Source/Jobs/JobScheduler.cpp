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
          "submit the job again under a new key to run it"};
}

} // namespace

auto JobScheduler::make(Topology Cluster, std::vector<AccountPolicy> Accounts,
                        SchedulerPolicy Policy) -> JobScheduler {
  return JobScheduler(
      SchedulerState(std::move(Cluster), std::move(Accounts), Policy));
}

auto JobScheduler::submit(const JobSpecification &Job, TimePoint Now)
    -> Result<void> {
  if (State.findJob(Job.Id) != nullptr)
    return success();
  BOOST_OUTCOME_TRYV(checkSubmission(Job));
  RestoredJob Row;
  Row.Specification = Job;
  Row.SubmittedAt = Now;
  return restore(Row);
}

auto JobScheduler::restore(const RestoredJob &Row) -> Result<void> {
  const auto &Id = Row.Specification.Id;
  if (State.findJob(Id) != nullptr)
    return success();
  JobRecord Job;
  Job.Specification = Row.Specification;
  Job.Attempt = Row.Attempt;
  Job.SubmittedAt = Row.SubmittedAt;
  Job.StartedAt = Row.StartedAt;
  Job.FailedWorkers.insert(Row.FailedWorkers.begin(), Row.FailedWorkers.end());
  Job.Failures = Row.Failures;
  Job.CurrentWaitReason = WaitReason::WaitingForCapacity;
  std::vector<std::int32_t> ShapeIds;
  std::set<std::uint32_t> SeenAccelerators;
  bool WorkerMissing = false;
  for (const auto &Place : Row.Placement) {
    const auto Worker = State.Cluster.findWorker(Place.Worker);
    if (!Worker ||
        Place.Accelerator >= State.Cluster.workerRanges()[*Worker].Count) {
      WorkerMissing = true;
      continue;
    }
    const auto Index =
        State.Cluster.workerRanges()[*Worker].First + Place.Accelerator;
    if (!SeenAccelerators.insert(Index).second ||
        State.Pool.holder(Index) != AcceleratorPool::NoJob)
      return Error::make(
          ErrorKind::InvalidArgument, "jobs[" + Id + "].placement",
          "accelerator " + std::to_string(Place.Accelerator) + " of worker " +
              Place.Worker + " is assigned more than once",
          "set one of the jobs back to PENDING");
    WorkerMissing = WorkerMissing || State.IsLost[*Worker];
    Job.Accelerators.push_back(Index);
    for (const auto &[ShapeId, Shape] : State.Plan.shapes())
      if (Shape.Account == Row.Specification.Account &&
          Shape.IndexInAccount == Place.GuaranteedShapeIndex)
        ShapeIds.push_back(ShapeId);
  }
  // The gang stays guaranteed only if every accelerator still belongs to a
  // shape with enough free accelerators. The account policy may have changed
  // since the row was written.
  std::map<std::int32_t, std::vector<std::uint32_t>> HeldByShape;
  bool Guaranteed =
      !ShapeIds.empty() && ShapeIds.size() == Job.Accelerators.size();
  if (Guaranteed) {
    for (std::size_t Index = 0; Index < ShapeIds.size(); ++Index)
      HeldByShape[ShapeIds[Index]].push_back(Job.Accelerators[Index]);
    for (const auto &[ShapeId, Held] : HeldByShape) {
      const auto &Shape = State.Plan.shapes().at(ShapeId);
      Guaranteed = Guaranteed &&
                   Shape.HeldAccelerators.size() + Held.size() <= Shape.Size;
    }
  }
  Job.Key = State.NextKey++;
  if (!Row.Placement.empty()) {
    Job.Phase = JobPhase::Running;
    Job.CurrentWaitReason = WaitReason::None;
    Job.StartSequence = State.NextStartSequence++;
    State.Pool.hold(Job.Accelerators, Job.Key);
    State.HeldByAccount[Job.Specification.Account] +=
        static_cast<std::uint32_t>(Job.Accelerators.size());
    if (Guaranteed) {
      Job.Guaranteed = true;
      Job.GuaranteedShapeIds = std::move(ShapeIds);
      for (const auto &[ShapeId, Held] : HeldByShape)
        State.Plan.hold(ShapeId, Held);
      State.PlanNeedsRepair = true;
    }
  }
  State.KeyById.emplace(Id, Job.Key);
  auto &Stored = State.Jobs.emplace(Job.Key, std::move(Job)).first->second;
  if (WorkerMissing)
    State.stopGang(Stored, WaitReason::MemberLost,
                   "a worker of the placement is lost or was removed");
  State.NeedsFeasibilityCheck = true;
  return success();
}

auto JobScheduler::cancel(const std::string &Id) -> void {
  auto *Job = State.findJob(Id);
  if (Job == nullptr)
    return;
  Job->CancelRequested = true;
  if (Job->Phase == JobPhase::Running)
    State.stopGang(*Job, WaitReason::Cancelled, "cancelled by the caller");
  if (Job->Phase == JobPhase::Stopping)
    return;
  if (Job->Phase == JobPhase::Reclaiming)
    State.cancelReservation(*Job);
  State.endJob(*Job, JobOutcome::Cancelled, cancelledReport());
}

auto JobScheduler::recordTaskEnd(const TaskEnd &End, TimePoint Now) -> void {
  auto *Job = State.findJob(End.Job);
  const auto Worker = State.Cluster.findWorker(End.Worker);
  if (Job == nullptr || !Worker || Job->Attempt != End.Attempt ||
      (Job->Phase != JobPhase::Running && Job->Phase != JobPhase::Stopping))
    return;
  const auto Workers = State.workersOf(*Job);
  if (std::find(Workers.begin(), Workers.end(), *Worker) == Workers.end())
    return;
  if (End.Result == TaskResult::Failed) {
    // Stopping a gang may also make its tasks fail, so only the first failure
    // of an attempt counts.
    if (Job->Phase == JobPhase::Running)
      recordFailure(*Job, End.Worker, Now);
    return;
  }
  Job->FinishedWorkers.insert(*Worker);
  State.FailureTracker.recordSuccess(End.Worker);
  // A gang that lost accelerators in a topology change has not succeeded.
  if (Job->FinishedWorkers.size() < Workers.size() ||
      Job->Accelerators.size() < Job->Specification.Accelerators)
    return;
  State.releaseAccelerators(*Job);
  State.endJob(*Job, JobOutcome::Succeeded, {});
}

auto JobScheduler::recordFailure(JobRecord &Job, const std::string &Worker,
                                 TimePoint Now) -> void {
  const auto &Id = Job.Specification.Id;
  ++Job.Failures;
  Job.FailedWorkers.insert(Worker);
  State.stopGang(Job, WaitReason::WorkerFailed, "a task failed on " + Worker);
  if (Job.FailedWorkers.size() >= State.Policy.FailedWorkersPerJobLimit) {
    // The job itself is the cause, so its failures do not count against
    // workers.
    State.FailureTracker.forgetFailuresOfJob(Id);
    return;
  }
  const auto Quarantine =
      State.FailureTracker.recordFailure(Worker, Id, Now, State.Policy);
  if (!Quarantine)
    return;
  // The worker is the cause, so its failures do not count against the jobs.
  for (const auto &Other : Quarantine->Jobs)
    if (auto *Failed = State.findJob(Other))
      Failed->FailedWorkers.erase(Worker);
  State.PendingDecisions.emplace_back(
      QuarantineWorker{Worker, Quarantine->Duration, Quarantine->Jobs});
  State.updateUsableAccelerators();
}

auto JobScheduler::recordGangStopped(const std::string &Id,
                                     std::uint32_t Attempt) -> void {
  auto *Job = State.findJob(Id);
  if (Job == nullptr || Job->Attempt != Attempt ||
      Job->Phase == JobPhase::Pending)
    return;
  if (Job->Phase == JobPhase::Reclaiming) {
    State.cancelReservation(*Job);
    return;
  }
  State.releaseAccelerators(*Job);
  finishStoppedJob(*Job);
}

auto JobScheduler::finishStoppedJob(JobRecord &Job) -> void {
  if (Job.CancelRequested) {
    State.endJob(Job, JobOutcome::Cancelled, cancelledReport());
  } else if (Job.FailedWorkers.size() >=
             State.Policy.FailedWorkersPerJobLimit) {
    std::string Names;
    for (const auto &Name : Job.FailedWorkers)
      Names += (Names.empty() ? "" : ", ") + Name;
    State.endJob(Job, JobOutcome::Failed,
                 {WaitReason::FailedOnDistinctWorkers, "failed on " + Names,
                  "correct the job and submit it under a new key"});
  } else if (Job.Failures >= State.Policy.FailuresPerJobLimit) {
    State.endJob(Job, JobOutcome::Failed,
                 {WaitReason::WorkerFailed,
                  "failed " + std::to_string(Job.Failures) + " times",
                  "correct the job and submit it under a new key"});
  }
}

auto JobScheduler::markWorkerLost(const std::string &Name) -> void {
  const auto Worker = State.Cluster.findWorker(Name);
  if (!Worker || State.IsLost[*Worker])
    return;
  State.IsLost[*Worker] = true;
  for (auto &[Key, Job] : State.Jobs) {
    if (Job.Phase != JobPhase::Running || Job.FinishedWorkers.count(*Worker))
      continue;
    const auto Workers = State.workersOf(Job);
    if (std::find(Workers.begin(), Workers.end(), *Worker) != Workers.end())
      State.stopGang(Job, WaitReason::MemberLost,
                     "worker " + Name + " is lost");
  }
  State.updateUsableAccelerators();
}

auto JobScheduler::markWorkerLeaving(const std::string &Name) -> void {
  const auto Worker = State.Cluster.findWorker(Name);
  if (!Worker || State.IsLeaving[*Worker])
    return;
  State.IsLeaving[*Worker] = true;
  State.updateUsableAccelerators();
}

auto JobScheduler::markWorkerReturned(const std::string &Name) -> void {
  const auto Worker = State.Cluster.findWorker(Name);
  if (!Worker || (!State.IsLost[*Worker] && !State.IsLeaving[*Worker]))
    return;
  State.IsLost[*Worker] = false;
  State.IsLeaving[*Worker] = false;
  State.updateUsableAccelerators();
}

auto JobScheduler::changeAccounts(std::vector<AccountPolicy> Accounts) -> void {
  State.Accounts = std::move(Accounts);
  State.Plan.setAccounts(State.Accounts);
  for (auto &[Key, Job] : State.Jobs) {
    const bool GuaranteeKept =
        std::all_of(Job.GuaranteedShapeIds.begin(),
                    Job.GuaranteedShapeIds.end(), [this](auto ShapeId) {
                      return State.Plan.shapes().count(ShapeId) != 0;
                    });
    if (GuaranteeKept)
      continue;
    if (Job.Phase == JobPhase::Reclaiming)
      State.cancelReservation(Job);
    else
      State.makeReclaimable(Job);
  }
  State.repairPlan();
  State.NeedsFeasibilityCheck = true;
}

auto JobScheduler::changeTopology(Topology Cluster) -> void {
  // Tasks on a removed worker may run until their leases expire. The worker
  // stays in the topology, marked as lost, so that its accelerators are not
  // assigned again if it is listed again before then.
  auto KnownWorkers = Cluster.workers();
  std::set<std::string> UnlistedWorkers;
  for (std::uint32_t Index = 0; Index < State.Pool.size(); ++Index) {
    const auto &Worker = State.Cluster.workers()[State.Cluster.workerOf(Index)];
    if (State.Pool.holder(Index) != AcceleratorPool::NoJob &&
        !Cluster.findWorker(Worker.Name) &&
        UnlistedWorkers.insert(Worker.Name).second)
      KnownWorkers.push_back(Worker);
  }
  if (!UnlistedWorkers.empty())
    Cluster = Topology::make(std::move(KnownWorkers)).value();
  const auto OldCluster = std::exchange(State.Cluster, std::move(Cluster));
  const auto &NewCluster = State.Cluster;
  const auto WorkerCount = NewCluster.workers().size();
  const auto WasLost =
      std::exchange(State.IsLost, std::vector(WorkerCount, false));
  const auto WasLeaving =
      std::exchange(State.IsLeaving, std::vector(WorkerCount, false));
  std::vector<std::optional<std::uint32_t>> NewIndexOfWorker;
  for (std::uint32_t Worker = 0; Worker < OldCluster.workers().size();
       ++Worker) {
    NewIndexOfWorker.push_back(
        NewCluster.findWorker(OldCluster.workers()[Worker].Name));
    if (NewIndexOfWorker.back()) {
      State.IsLost[*NewIndexOfWorker.back()] =
          WasLost[Worker] &&
          State.UnlistedWorkers.count(OldCluster.workers()[Worker].Name) == 0;
      State.IsLeaving[*NewIndexOfWorker.back()] = WasLeaving[Worker];
    }
  }
  State.Pool = AcceleratorPool::make(NewCluster.acceleratorCount());
  State.Plan.clearBlocksAndHoldings();
  std::vector<JobRecord *> IncompleteJobs;
  for (auto &[Key, Job] : State.Jobs) {
    std::vector<std::uint32_t> Accelerators;
    std::vector<std::int32_t> ShapeIds;
    for (std::size_t Index = 0; Index < Job.Accelerators.size(); ++Index) {
      const auto Worker = OldCluster.workerOf(Job.Accelerators[Index]);
      const auto Offset =
          Job.Accelerators[Index] - OldCluster.workerRanges()[Worker].First;
      if (!NewIndexOfWorker[Worker] ||
          Offset >= NewCluster.workerRanges()[*NewIndexOfWorker[Worker]].Count)
        continue;
      Accelerators.push_back(
          NewCluster.workerRanges()[*NewIndexOfWorker[Worker]].First + Offset);
      if (Job.Guaranteed) {
        ShapeIds.push_back(Job.GuaranteedShapeIds[Index]);
        State.Plan.hold(ShapeIds.back(), {Accelerators.back()});
      }
    }
    std::set<std::uint32_t> Finished;
    for (auto Worker : Job.FinishedWorkers)
      if (NewIndexOfWorker[Worker])
        Finished.insert(*NewIndexOfWorker[Worker]);
    if (Accelerators.size() < Job.Accelerators.size())
      IncompleteJobs.push_back(&Job);
    State.HeldByAccount[Job.Specification.Account] -=
        static_cast<std::uint32_t>(Job.Accelerators.size() -
                                   Accelerators.size());
    Job.Accelerators = std::move(Accelerators);
    Job.GuaranteedShapeIds = std::move(ShapeIds);
    Job.FinishedWorkers = std::move(Finished);
    if (Job.Phase == JobPhase::Reclaiming)
      State.Pool.reserve(Job.Accelerators, Job.Key);
    else
      State.Pool.hold(Job.Accelerators, Job.Key);
  }
  State.UnlistedWorkers = UnlistedWorkers;
  State.updateUsableAccelerators();
  for (const auto &Name : UnlistedWorkers)
    markWorkerLost(Name);
  for (auto *Job : IncompleteJobs) {
    if (Job->Phase == JobPhase::Reclaiming)
      State.cancelReservation(*Job);
    else if (Job->Phase == JobPhase::Running)
      State.stopGang(*Job, WaitReason::MemberLost,
                     "a worker of the placement was removed");
  }
  State.NeedsFeasibilityCheck = true;
}

auto JobScheduler::reportUsage(const UsageReport &Report) -> bool {
  auto *Job = State.findJob(Report.Job);
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
  if (State.FailureTracker.endExpiredQuarantines(Now))
    State.updateUsableAccelerators();
  if (State.PlanNeedsRepair)
    State.repairPlan();
  if (State.NeedsFeasibilityCheck && State.TopologyComplete)
    rejectInfeasibleJobs();
  GangPlacer Placer(State, Now);
  Placer.startReservedJobs();
  Placer.placeWaitingJobs();
  return std::exchange(State.PendingDecisions, {});
}

auto JobScheduler::setTopologyComplete(bool Complete) -> void {
  State.TopologyComplete = Complete;
}

auto JobScheduler::rejectInfeasibleJobs() -> void {
  State.NeedsFeasibilityCheck = false;
  std::vector<std::pair<JobRecord *, Error>> Rejected;
  for (auto &[Key, Job] : State.Jobs) {
    if (Job.Phase != JobPhase::Pending)
      continue;
    auto Checked = checkSubmission(Job.Specification);
    if (!Checked)
      Rejected.emplace_back(&Job, Checked.error());
  }
  for (const auto &[Job, Cause] : Rejected)
    State.endJob(*Job, JobOutcome::Rejected,
                 {WaitReason::CanNeverRun,
                  Cause.place() + ": " + Cause.detail(), Cause.remedy()});
}

auto JobScheduler::checkSubmission(const JobSpecification &Job) const
    -> Result<void> {
  const auto Size = std::to_string(Job.Accelerators);
  if (Job.Accelerators == 0 || Job.Accelerators > Topology::MaxGangSize)
    return Error::make(ErrorKind::InvalidArgument, "accelerators",
                       Size + " is not between 1 and 64",
                       "request 1 to 64 accelerators");
  const auto *Account = State.findAccountPolicy(Job.Account);
  if (Account == nullptr)
    return Error::make(ErrorKind::NotFound, "account",
                       "unknown account \"" + Job.Account + "\"",
                       "use an account that the configuration lists");
  if (Job.Adjacent && !State.Cluster.smallestDomainFor(Job.Accelerators))
    return Error::make(
        ErrorKind::Rejected, "accelerators",
        "no availability zone has " + Size + " adjacent accelerators",
        "request fewer accelerators, or do not require adjacent ones");
  if (Job.Accelerators > State.Cluster.acceleratorCount())
    return Error::make(ErrorKind::Rejected, "accelerators",
                       Size + " are requested, but only " +
                           std::to_string(State.Cluster.acceleratorCount()) +
                           " are installed",
                       "request fewer accelerators");
  const auto Guaranteed = Job.Priority == JobPriority::Surplus
                              ? 0
                              : Account->guaranteedAccelerators();
  if (Account->AcceleratorQuota != 0 &&
      Job.Accelerators > std::max(Account->AcceleratorQuota, Guaranteed))
    return Error::make(
        ErrorKind::Rejected, "accelerators",
        Size + " exceeds the account's quota of " +
            std::to_string(Account->AcceleratorQuota),
        "request fewer accelerators, or ask an operator for a higher quota");
  return success();
}

auto JobScheduler::waitReport(const std::string &Id) const
    -> std::optional<WaitReport> {
  const auto *Job = State.findJob(Id);
  if (Job == nullptr)
    return std::nullopt;
  return explainWait(State, *Job);
}

auto JobScheduler::findJob(const std::string &Id) const -> const JobRecord * {
  return State.findJob(Id);
}

auto JobScheduler::jobIds() const -> std::vector<std::string> {
  std::vector<std::string> Ids;
  for (const auto &[Key, Job] : State.Jobs)
    Ids.push_back(Job.Specification.Id);
  return Ids;
}

auto JobScheduler::placement(const std::string &Id) const
    -> std::vector<AcceleratorPlace> {
  const auto *Job = State.findJob(Id);
  return Job == nullptr ? std::vector<AcceleratorPlace>{}
                        : State.placesOf(*Job);
}

auto JobScheduler::workerState(const std::string &Name) const
    -> std::optional<WorkerState> {
  const auto Worker = State.Cluster.findWorker(Name);
  if (!Worker)
    return std::nullopt;
  if (State.IsLost[*Worker])
    return WorkerState::Lost;
  if (State.IsLeaving[*Worker])
    return WorkerState::Leaving;
  return State.FailureTracker.isQuarantined(Name) ? WorkerState::Quarantined
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
