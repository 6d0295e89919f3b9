#include "Scheduling/ShardScheduler.h"

#include "Scheduling/PlacementPass.h"
#include "Scheduling/RunSupervision.h"

#include <algorithm>

namespace jayramp::scheduling {

namespace {

constexpr std::uint32_t CompletePercent = 100;

/// Returns the index of the task whose progress stores the failures and the
/// checkpoint of the task at \p Index.
auto sharedProgressIndex(const StepSpec &Step, std::uint32_t Index)
    -> std::uint32_t {
  return Step.Gang ? 0 : Index;
}

/// Returns the number of accelerators that all tasks of a job need together.
auto totalGpus(const JobSpec &Spec) -> std::int64_t {
  std::int64_t Sum = 0;
  for (const auto &Step : Spec.Steps)
    Sum += Step.Need.Gpus * static_cast<std::int64_t>(Step.Count);
  return Sum;
}

auto isAllDone(const JobProgress &Progress) -> bool {
  for (const auto &Step : Progress.Steps)
    for (const auto &Task : Step)
      if (!Task.Done)
        return false;
  return true;
}

} // namespace

auto ShardScheduler::addJob(JobSpec Spec, JobProgress Progress,
                            TimePoint SubmittedAt) -> void {
  if (Jobs.contains(Spec.Id))
    return;
  Progress.Steps.resize(Spec.Steps.size());
  for (std::size_t Step = 0; Step < Spec.Steps.size(); ++Step)
    Progress.Steps[Step].resize(Spec.Steps[Step].Count);
  const auto Id = Spec.Id;
  auto &Job = Jobs[Id];
  Job.Spec = std::move(Spec);
  Job.Progress = std::move(Progress);
  Job.SubmittedAt = SubmittedAt;
  Job.FinishedAt = SubmittedAt;
  Job.Sequence = NextSequence++;
  if (Job.Spec.Priority == 0 && Job.Progress.State == JobState::Pending)
    UrgentArrivals.emplace_back(SubmittedAt, totalGpus(Job.Spec));
  for (std::uint32_t Step = 0; Step < Job.Progress.Steps.size(); ++Step) {
    const auto &Tasks = Job.Progress.Steps[Step];
    for (std::uint32_t Index = 0; Index < Tasks.size(); ++Index) {
      const auto &Task = Tasks[Index];
      if (Task.Worker.empty())
        continue;
      const RunId Key{Id, Step, Index, Task.LastRunNumber};
      Run LiveRun{Key,
                  Task.Worker,
                  Task.Incarnation,
                  RunPhase::Assigned,
                  SubmittedAt,
                  SubmittedAt,
                  0,
                  SubmittedAt,
                  SubmittedAt};
      if (isFinal(Job.Progress.State))
        LiveRun.Phase = RunPhase::Stopping;
      Runs.emplace(Key, LiveRun);
      auto &Entry = Workers[Task.Worker];
      if (Entry.Report.Id.empty()) {
        Entry.Report.Id = Task.Worker;
        Entry.Registered = false;
      }
      Entry.Runs.insert(Key);
      Entry.Used += Job.Spec.Steps[Step].Need;
    }
  }
}

auto ShardScheduler::cancelJob(const std::string &Id, TimePoint Now) -> void {
  auto *Job = findJob(Id);
  if (!Job || isFinal(Job->Progress.State))
    return;
  finishJob(*Job, JobState::Cancelled, Now);
}

auto ShardScheduler::removeFinishedJob(const std::string &Id) -> bool {
  auto *Job = findJob(Id);
  if (!Job)
    return true;
  if (!isFinal(Job->Progress.State))
    return false;
  for (const auto &Step : Job->Progress.Steps)
    for (const auto &Task : Step)
      if (!Task.Worker.empty())
        return false;
  Jobs.erase(Id);
  return true;
}

auto ShardScheduler::setOnHold(const std::string &Id, bool OnHold) -> void {
  if (auto *Job = findJob(Id))
    Job->OnHold = OnHold;
}

auto ShardScheduler::setGuarantees(
    std::map<std::string, std::int64_t> GpusByAccount) -> void {
  Guarantees = std::move(GpusByAccount);
}

auto ShardScheduler::updateWorker(const WorkerReport &Report, TimePoint Now)
    -> void {
  auto &Entry = Workers[Report.Id];
  if (Entry.Report.Incarnation != Report.Incarnation) {
    Entry.FailedJobs.clear();
    Entry.QuarantinedUntil = {};
    Entry.Reachable = true;
  }
  if (Report.Draining && Report.Remaining) {
    const auto LeavesAt = Now + *Report.Remaining;
    Entry.LeavesAt =
        Entry.Report.Draining ? std::min(Entry.LeavesAt, LeavesAt) : LeavesAt;
  }
  Entry.Report = Report;
  Entry.Registered = true;
}

auto ShardScheduler::unregisterWorker(const std::string &Id) -> void {
  auto Found = Workers.find(Id);
  if (Found == Workers.end())
    return;
  Found->second.Registered = false;
  if (Found->second.Runs.empty())
    Workers.erase(Found);
}

auto ShardScheduler::setReachable(const std::string &Id, bool Reachable)
    -> void {
  auto Found = Workers.find(Id);
  if (Found != Workers.end())
    Found->second.Reachable = Reachable;
}

auto ShardScheduler::pauseWorker(const std::string &Id, TimePoint Now) -> void {
  auto Found = Workers.find(Id);
  if (Found != Workers.end())
    Found->second.QuarantinedUntil = std::max(Found->second.QuarantinedUntil,
                                              Now + Policy.StartRefusalBackoff);
}

auto ShardScheduler::runStarted(const RunId &Id, TimePoint Now) -> void {
  auto Found = Runs.find(Id);
  if (Found == Runs.end() || Found->second.Phase != RunPhase::Assigned)
    return;
  Found->second.Phase = RunPhase::Started;
  Found->second.StartedAt = Now;
  Found->second.LastProgressAt = Now;
  auto *Job = findJob(Id.Job);
  if (Job && Job->Progress.State == JobState::Pending) {
    Job->Progress.State = JobState::Running;
    markChanged(Id.Job);
  }
}

auto ShardScheduler::runProgressed(const RunId &Id, std::uint32_t Percent,
                                   const std::string &Checkpoint, TimePoint Now)
    -> void {
  runStarted(Id, Now);
  auto Found = Runs.find(Id);
  auto *Job = findJob(Id.Job);
  if (Found == Runs.end() || !Job)
    return;
  auto &LiveRun = Found->second;
  LiveRun.LastReportAt = Now;
  if (LiveRun.ProgressPercent != Percent) {
    LiveRun.ProgressPercent = Percent;
    LiveRun.LastProgressAt = Now;
  }
  const auto &Step = Job->Spec.Steps[Id.Step];
  // A new checkpoint alone does not mark the job as changed. It is stored with
  // the next change: it is needed only if this run is lost.
  if (Step.Checkpointing && !Checkpoint.empty())
    Job->Progress.Steps[Id.Step][sharedProgressIndex(Step, Id.Index)]
        .Checkpoint = Checkpoint;
}

auto ShardScheduler::runEnded(const RunId &Id, RunOutcome Outcome,
                              const std::string &Checkpoint, TimePoint Now)
    -> void {
  auto *Job = findJob(Id.Job);
  if (!Job || Id.Step >= Job->Spec.Steps.size() ||
      Id.Index >= Job->Spec.Steps[Id.Step].Count)
    return;
  const auto IsKnown = Runs.contains(Id);
  const auto &Step = Job->Spec.Steps[Id.Step];
  auto &Task = Job->Progress.Steps[Id.Step][Id.Index];
  if (!IsKnown && (Task.Done || Id.Run != Task.LastRunNumber))
    return;
  if (Step.Checkpointing && !Checkpoint.empty())
    Job->Progress.Steps[Id.Step][sharedProgressIndex(Step, Id.Index)]
        .Checkpoint = Checkpoint;
  if (Outcome == RunOutcome::Succeeded)
    recordSuccess(*Job, Id, Now);
  else if (Outcome == RunOutcome::Failed)
    recordFailure(*Job, Id, Now);
  releaseRun(Id);
  if (Outcome != RunOutcome::Succeeded && Step.Gang)
    stopGang(Id);
  if (!isFinal(Job->Progress.State) && isAllDone(Job->Progress))
    finishJob(*Job, JobState::Completed, Now);
}

auto ShardScheduler::runLost(const RunId &Id, TimePoint) -> void {
  auto *Job = findJob(Id.Job);
  if (!Job || !Runs.contains(Id))
    return;
  releaseRun(Id);
  if (Job->Spec.Steps[Id.Step].Gang)
    stopGang(Id);
}

auto ShardScheduler::stopRun(const RunId &Id, StopReason Reason,
                             const std::string &PreemptingJob) -> void {
  auto Found = Runs.find(Id);
  if (Found == Runs.end() || Found->second.Phase == RunPhase::Stopping)
    return;
  Found->second.Phase = RunPhase::Stopping;
  StopDecisions.push_back({Id, Found->second.Worker, Reason, PreemptingJob,
                           Found->second.ProgressPercent});
}

auto ShardScheduler::schedule(TimePoint Now) -> void {
  RunSupervision Supervision(*this, Now);
  Supervision.stopStalledRuns();
  Supervision.evacuateLeavingWorkers();
  updateGuaranteedJobs();
  PlacementPass(*this, Now).run();
}

auto ShardScheduler::takeChangedJobs(std::size_t MaxCount)
    -> std::vector<std::string> {
  std::vector<std::string> Ids;
  while (!ChangedJobs.empty() && Ids.size() < MaxCount) {
    ChangedJobSet.erase(ChangedJobs.front());
    Ids.push_back(std::move(ChangedJobs.front()));
    ChangedJobs.pop_front();
  }
  return Ids;
}

auto ShardScheduler::job(const std::string &Id) const -> const JobEntry * {
  const auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

auto ShardScheduler::worker(const std::string &Id) const
    -> const WorkerEntry * {
  const auto Found = Workers.find(Id);
  return Found == Workers.end() ? nullptr : &Found->second;
}

auto ShardScheduler::run(const RunId &Id) const -> const Run * {
  const auto Found = Runs.find(Id);
  return Found == Runs.end() ? nullptr : &Found->second;
}

auto ShardScheduler::findJob(const std::string &Id) -> JobEntry * {
  const auto Found = Jobs.find(Id);
  return Found == Jobs.end() ? nullptr : &Found->second;
}

auto ShardScheduler::markChanged(const std::string &Id) -> void {
  if (ChangedJobSet.insert(Id).second)
    ChangedJobs.push_back(Id);
}

auto ShardScheduler::assign(JobEntry &Job, std::uint32_t Step,
                            std::uint32_t Index, std::uint32_t RunNumber,
                            WorkerEntry &Target, TimePoint Now) -> void {
  auto &Task = Job.Progress.Steps[Step][Index];
  Task.LastRunNumber = RunNumber;
  Task.Worker = Target.Report.Id;
  Task.Incarnation = Target.Report.Incarnation;
  const RunId Id{Job.Spec.Id, Step, Index, RunNumber};
  Run LiveRun{Id,
              Target.Report.Id,
              Target.Report.Incarnation,
              RunPhase::Assigned,
              Now,
              Now,
              0,
              Now,
              Now};
  Runs.emplace(Id, LiveRun);
  Target.Runs.insert(Id);
  Target.Used += Job.Spec.Steps[Step].Need;
  markChanged(Job.Spec.Id);
}

auto ShardScheduler::releaseRun(const RunId &Id) -> void {
  auto Found = Runs.find(Id);
  if (Found == Runs.end())
    return;
  auto *Job = findJob(Id.Job);
  auto WorkerIt = Workers.find(Found->second.Worker);
  if (WorkerIt != Workers.end() && WorkerIt->second.Runs.erase(Id) > 0 && Job)
    WorkerIt->second.Used -= Job->Spec.Steps[Id.Step].Need;
  if (WorkerIt != Workers.end() && !WorkerIt->second.Registered &&
      WorkerIt->second.Runs.empty())
    Workers.erase(WorkerIt);
  Runs.erase(Found);
  if (!Job)
    return;
  auto &Task = Job->Progress.Steps[Id.Step][Id.Index];
  if (Task.LastRunNumber == Id.Run)
    Task.Worker.clear();
  markChanged(Id.Job);
}

auto ShardScheduler::recordFailure(JobEntry &Job, const RunId &Id,
                                   TimePoint Now) -> void {
  const auto &Step = Job.Spec.Steps[Id.Step];
  auto &SharedProgress =
      Job.Progress.Steps[Id.Step][sharedProgressIndex(Step, Id.Index)];
  // Only the first failure of a task or gang counts against the worker: after
  // an earlier failure, the job itself is likely to be the cause.
  if (const auto *LiveRun = run(Id);
      LiveRun && SharedProgress.FailureCount == 0)
    recordWorkerFailure(LiveRun->Worker, Id.Job, Now);
  if (SharedProgress.LastFailedRunNumber == Id.Run || SharedProgress.Done)
    return;
  SharedProgress.LastFailedRunNumber = Id.Run;
  ++SharedProgress.FailureCount;
  markChanged(Id.Job);
  if (SharedProgress.FailureCount >= Job.Spec.MaxAttempts &&
      !isFinal(Job.Progress.State))
    finishJob(Job, JobState::Failed, Now);
}

auto ShardScheduler::recordSuccess(JobEntry &Job, const RunId &Id, TimePoint)
    -> void {
  if (const auto *LiveRun = run(Id)) {
    auto WorkerIt = Workers.find(LiveRun->Worker);
    if (WorkerIt != Workers.end())
      WorkerIt->second.FailedJobs.clear();
  }
  auto &Tasks = Job.Progress.Steps[Id.Step];
  if (Job.Spec.Steps[Id.Step].Gang) {
    // The members of a gang succeed together, so the success of one member
    // marks all of them as done.
    for (auto &Task : Tasks)
      Task.Done = true;
  } else {
    Tasks[Id.Index].Done = true;
  }
  markChanged(Id.Job);
}

auto ShardScheduler::stopGang(const RunId &Id) -> void {
  auto *Job = findJob(Id.Job);
  if (!Job || Job->Progress.Steps[Id.Step][0].Done)
    return;
  for (std::uint32_t Index = 0; Index < Job->Spec.Steps[Id.Step].Count; ++Index)
    stopRun({Id.Job, Id.Step, Index, Id.Run}, StopReason::GangBroken);
}

auto ShardScheduler::recordWorkerFailure(const std::string &Worker,
                                         const std::string &Job, TimePoint Now)
    -> void {
  auto Found = Workers.find(Worker);
  if (Found == Workers.end())
    return;
  auto &Entry = Found->second;
  Entry.FailedJobs.insert(Job);
  if (Entry.FailedJobs.size() >= Policy.QuarantineFailures)
    Entry.QuarantinedUntil = Now + Policy.QuarantineDuration;
}

auto ShardScheduler::finishJob(JobEntry &Job, JobState State, TimePoint Now)
    -> void {
  Job.Progress.State = State;
  Job.FinishedAt = Now;
  markChanged(Job.Spec.Id);
  if (State == JobState::Completed)
    return;
  const RunId First{Job.Spec.Id, 0, 0, 0};
  for (auto Next = Runs.lower_bound(First);
       Next != Runs.end() && Next->first.Job == Job.Spec.Id; ++Next)
    stopRun(Next->first, StopReason::JobFinal);
}

auto ShardScheduler::pollRateOf(const RunId &Id, TimePoint Now) const
    -> RunPollRate {
  const auto *LiveRun = run(Id);
  const auto *Job = job(Id.Job);
  // Only a stalled member of a gang can be detected early, by comparing it with
  // the others, so frequent polling pays off only for gangs.
  if (!LiveRun || !Job || Job->Spec.Priority != 0 ||
      !Job->Spec.Steps[Id.Step].Gang ||
      LiveRun->ProgressPercent >= CompletePercent)
    return RunPollRate::Normal;
  return Now - LiveRun->AssignedAt < Policy.HighPollRateDuration
             ? RunPollRate::High
             : RunPollRate::Elevated;
}

auto ShardScheduler::urgentReserve(TimePoint Now) -> std::int64_t {
  while (!UrgentArrivals.empty() &&
         UrgentArrivals.front().first < Now - Policy.ArrivalWindow)
    UrgentArrivals.pop_front();
  std::int64_t RecentArrivals = 0;
  for (const auto &[Time, Gpus] : UrgentArrivals)
    RecentArrivals += Gpus;
  std::int64_t Total = 0;
  for (const auto &[Id, Entry] : Workers)
    if (Entry.Registered)
      Total += Entry.Report.Capacity.Gpus;
  const auto ExpectedGpus = RecentArrivals * Policy.ReserveHorizon.count() /
                            Policy.ArrivalWindow.count();
  return std::min(ExpectedGpus,
                  static_cast<std::int64_t>(static_cast<double>(Total) *
                                            Policy.MaxReserveFraction));
}

auto ShardScheduler::updateGuaranteedJobs() -> void {
  std::vector<JobEntry *> UrgentJobs;
  for (auto &[Id, Job] : Jobs) {
    Job.Guaranteed = false;
    if (Job.Spec.Priority == 0 && !isFinal(Job.Progress.State))
      UrgentJobs.push_back(&Job);
  }
  std::sort(UrgentJobs.begin(), UrgentJobs.end(),
            [](const auto *Left, const auto *Right) {
              return Left->Sequence < Right->Sequence;
            });
  std::map<std::string, std::int64_t> RequestedGpus;
  for (auto *Job : UrgentJobs) {
    auto &Sum = RequestedGpus[Job->Spec.Tenant];
    Sum += totalGpus(Job->Spec);
    const auto Limit = Guarantees.find(Job->Spec.Tenant);
    Job->Guaranteed = Limit != Guarantees.end() && Sum <= Limit->second;
  }
}

} // namespace jayramp::scheduling
