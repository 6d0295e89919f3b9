#include "Scheduling/ShardScheduler.h"

#include "Scheduling/JobTimeEstimate.h"
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

/// Returns the id that stands for the gang of \p Member.
auto gangId(const RunId &Member) -> RunId {
  return {Member.Job, Member.Step, 0, Member.Run};
}

} // namespace

auto ShardScheduler::addJob(JobSpec Spec, JobProgress Progress,
                            TimePoint SubmittedAt) -> void {
  const auto Id = Spec.Id;
  const auto [Position, IsNew] = Jobs.try_emplace(
      Id, std::move(Spec), std::move(Progress), SubmittedAt, NextSequence);
  if (!IsNew)
    return;
  auto &Job = Position->second;
  ++NextSequence;
  PassNeeded = true;
  if (!isFinal(Job.Progress.State))
    ActiveJobs.emplace(Job.Sequence, &Job);
  if (Job.Spec.Priority == 0 && Job.Progress.State == JobState::Pending)
    Reserve.recordArrival(SubmittedAt, Job.TotalGpus, slowestInTime(Job));
  for (std::uint32_t Step = 0; Step < Job.Progress.Steps.size(); ++Step) {
    const auto &Tasks = Job.Progress.Steps[Step];
    for (std::uint32_t Index = 0; Index < Tasks.size(); ++Index) {
      const auto &Task = Tasks[Index];
      if (Task.Worker.empty())
        continue;
      auto &Entry = Workers[Task.Worker];
      if (Entry.Report.Id.empty()) {
        Entry.Report.Id = Task.Worker;
        Entry.Registered = false;
      }
      addRun({{Id, Step, Index, Task.LastRunNumber},
              &Job,
              Task.Worker,
              Task.Incarnation,
              isFinal(Job.Progress.State) ? RunPhase::Stopping
                                          : RunPhase::Assigned,
              SubmittedAt,
              SubmittedAt,
              0,
              SubmittedAt,
              SubmittedAt},
             Entry);
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
  auto *Job = findJob(Id);
  if (!Job || Job->OnHold == OnHold)
    return;
  Job->OnHold = OnHold;
  PassNeeded = true;
  // Starts that have not been sent yet are withdrawn or resumed.
  for (auto Next = Runs.lower_bound({Id, 0, 0, 0});
       Next != Runs.end() && Next->first.Job == Id; ++Next)
    markWorkerChanged(Next->second.Worker);
}

auto ShardScheduler::setGuarantees(
    std::map<std::string, std::int64_t> GpusByAccount) -> void {
  Guarantees = std::move(GpusByAccount);
  PassNeeded = true;
}

auto ShardScheduler::updateWorker(const WorkerReport &Report, TimePoint Now)
    -> void {
  auto &Entry = Workers[Report.Id];
  if (Entry.Report.Incarnation != Report.Incarnation) {
    Entry.FailedJobs.clear();
    Entry.QuarantinedUntil = {};
    Entry.PausedUntil = {};
    Entry.UnsentRuns.recordSuccess();
    Entry.RefusedStart = false;
    // A worker that is new to this owner may be known to the one before.
    if (Entry.Report.Incarnation != 0)
      RunTimes.forgetWorker(Report.Id);
  }
  if (Report.Draining && Report.Remaining) {
    const auto LeavesAt = Now + *Report.Remaining;
    Entry.LeavesAt =
        Entry.Report.Draining ? std::min(Entry.LeavesAt, LeavesAt) : LeavesAt;
  }
  Entry.InClosedZone = ClosedZones.contains(Report.Zone);
  auto Before = std::exchange(Entry.Report, Report);
  // The remaining time changes with every report of a draining worker.
  Before.Remaining = Report.Remaining;
  if (Before == Report && std::exchange(Entry.Registered, true))
    return;
  Entry.Registered = true;
  Entry.Rack =
      RackNumbers.emplace(Report.Rack, RackNumbers.size()).first->second;
  Entry.TimeFactor = timeFactor(Entry);
  if (Report.Draining)
    DrainingWorkers.insert(Report.Id);
  else
    DrainingWorkers.erase(Report.Id);
  markWorkerChanged(Report.Id);
}

auto ShardScheduler::setClosedZones(std::set<std::string> Zones) -> void {
  ClosedZones = std::move(Zones);
  for (auto &[Id, Entry] : Workers) {
    const bool IsClosed = ClosedZones.contains(Entry.Report.Zone);
    // Starts that have not been confirmed yet are withdrawn.
    if (std::exchange(Entry.InClosedZone, IsClosed) != IsClosed)
      markWorkerChanged(Id);
  }
}

auto ShardScheduler::unregisterWorker(const std::string &Id) -> void {
  auto Found = Workers.find(Id);
  if (Found == Workers.end())
    return;
  markWorkerChanged(Id);
  Found->second.Registered = false;
  if (Found->second.Runs.empty())
    removeWorker(Found);
}

auto ShardScheduler::removeWorker(
    std::map<std::string, WorkerEntry>::iterator Position) -> void {
  DrainingWorkers.erase(Position->first);
  RunTimes.forgetWorker(Position->first);
  Workers.erase(Position);
}

auto ShardScheduler::setReachable(const std::string &Id, bool Reachable)
    -> void {
  auto Found = Workers.find(Id);
  if (Found != Workers.end() &&
      std::exchange(Found->second.Reachable, Reachable) != Reachable)
    markWorkerChanged(Id);
}

auto ShardScheduler::recordStartRefused(const std::string &Id, TimePoint Now)
    -> void {
  pauseWorkerUntil(Id, Now + Policy.StartRefusalBackoff);
  if (const auto Found = Workers.find(Id); Found != Workers.end()) {
    Found->second.RefusedStart = true;
    Found->second.TroubledAt = Now;
  }
}

auto ShardScheduler::pauseWorkerUntil(const std::string &Id, TimePoint Until)
    -> void {
  auto Found = Workers.find(Id);
  if (Found != Workers.end())
    Found->second.PausedUntil = std::max(Found->second.PausedUntil, Until);
}

auto ShardScheduler::runStartSent(const RunId &Id) -> void {
  const auto Found = Runs.find(Id);
  if (Found != Runs.end())
    Found->second.Job->recordStartSent(Id.Step, Id.Index, Id.Run);
}

auto ShardScheduler::runStarted(const RunId &Id, TimePoint Now) -> void {
  auto Found = Runs.find(Id);
  if (Found == Runs.end() || Found->second.Phase != RunPhase::Assigned)
    return;
  auto &LiveRun = Found->second;
  LiveRun.Phase = RunPhase::Started;
  LiveRun.StartedAt = Now;
  LiveRun.LastProgressAt = Now;
  LiveRun.LastReportAt = Now;
  auto &Job = *LiveRun.Job;
  Job.recordStarted(Id.Step, Id.Index);
  if (const auto Target = Workers.find(LiveRun.Worker);
      Target != Workers.end()) {
    Target->second.UnsentRuns.recordSuccess();
    Target->second.RefusedStart = false;
  }
  if (Job.Spec.Steps[Id.Step].Gang)
    StartingGangs.insert(gangId(Id));
  if (Job.Progress.State == JobState::Pending) {
    Job.Progress.State = JobState::Running;
    markChanged(Id.Job);
  }
}

auto ShardScheduler::runProgressed(const RunId &Id, std::uint32_t Percent,
                                   const std::string &Checkpoint, TimePoint Now)
    -> void {
  runStarted(Id, Now);
  auto Found = Runs.find(Id);
  if (Found == Runs.end())
    return;
  auto &LiveRun = Found->second;
  const auto &Step = LiveRun.Job->Spec.Steps[Id.Step];
  // A new checkpoint alone does not mark the job as changed. It is stored with
  // the next change: it is needed only if this run is lost.
  if (Step.Checkpointing && !Checkpoint.empty())
    LiveRun.Job->Progress.Steps[Id.Step][sharedProgressIndex(Step, Id.Index)]
        .Checkpoint = Checkpoint;
  if (const auto *Entry = worker(LiveRun.Worker))
    RunTimes.recordProgress(LiveRun, *Entry, Percent, Now);
  LiveRun.LastReportAt = Now;
  if (LiveRun.ProgressPercent != Percent) {
    LiveRun.ProgressPercent = Percent;
    LiveRun.LastProgressAt = Now;
    return;
  }
  checkProgress(LiveRun, Now);
}

auto ShardScheduler::runUnlisted(const RunId &Id, TimePoint Now) -> void {
  auto Found = Runs.find(Id);
  if (Found == Runs.end() || Found->second.Phase != RunPhase::Started)
    return;
  Found->second.LastReportAt = Now;
  checkProgress(Found->second, Now);
}

auto ShardScheduler::checkProgress(Run &LiveRun, TimePoint Now) -> void {
  if (LiveRun.Phase != RunPhase::Started)
    return;
  if (LiveRun.Job->Spec.Steps[LiveRun.Id.Step].Gang) {
    GangsToCheck.insert(gangId(LiveRun.Id));
    PassNeeded = true;
    return;
  }
  RunSupervision Supervision(*this, Now);
  if (Supervision.isStalled(LiveRun))
    Supervision.stopAsStalled({LiveRun.Id});
}

auto ShardScheduler::runEnded(const RunId &Id, RunOutcome Outcome,
                              const std::string &Checkpoint, TimePoint Now)
    -> bool {
  auto *Job = findJob(Id.Job);
  if (!Job || Id.Step >= Job->Spec.Steps.size() ||
      Id.Index >= Job->Spec.Steps[Id.Step].Count)
    return true;
  const auto &Step = Job->Spec.Steps[Id.Step];
  const bool IsLatest =
      Id.Run == Job->Progress.Steps[Id.Step][Id.Index].LastRunNumber;
  const bool IsLive = Runs.contains(Id);
  if (Step.Checkpointing && !Checkpoint.empty() && (IsLive || IsLatest))
    Job->Progress.Steps[Id.Step][sharedProgressIndex(Step, Id.Index)]
        .Checkpoint = Checkpoint;
  if (!IsLive)
    return lateRunEnded(*Job, Id, Outcome, Now);
  if (Outcome == RunOutcome::Succeeded)
    recordSuccess(*Job, Id, Now);
  else if (Outcome == RunOutcome::Failed)
    recordFailure(*Job, Id, Now);
  releaseRun(Id);
  if (Outcome != RunOutcome::Succeeded && Step.Gang)
    stopGang(Id);
  finishIfAllDone(*Job, Now);
  return true;
}

auto ShardScheduler::lateRunEnded(JobEntry &Job, const RunId &Id,
                                  RunOutcome Outcome, TimePoint Now) -> bool {
  // The success counts in any case: the work is done.
  const bool MustNotBeAcknowledged =
      Outcome == RunOutcome::Succeeded &&
      Job.mayHaveRunAfter(Id.Step, Id.Index, Id.Run);
  if (Job.Progress.Steps[Id.Step][Id.Index].Done)
    return !MustNotBeAcknowledged;
  if (Outcome == RunOutcome::Succeeded) {
    recordSuccess(Job, Id, Now);
    stopSupersededRuns(Job, Id);
    finishIfAllDone(Job, Now);
  } else if (Outcome == RunOutcome::Failed) {
    recordFailure(Job, Id, Now);
  }
  return !MustNotBeAcknowledged;
}

auto ShardScheduler::stopSupersededRuns(const JobEntry &Job,
                                        const RunId &DoneRun) -> void {
  const bool IsGang = Job.Spec.Steps[DoneRun.Step].Gang;
  for (auto Next = Runs.lower_bound({DoneRun.Job, DoneRun.Step, 0, 0});
       Next != Runs.end() && Next->first.Job == DoneRun.Job &&
       Next->first.Step == DoneRun.Step;
       ++Next)
    if (IsGang || Next->first.Index == DoneRun.Index)
      stopRun(Next->first, StopReason::TaskDone);
}

auto ShardScheduler::finishIfAllDone(JobEntry &Job, TimePoint Now) -> void {
  if (!isFinal(Job.Progress.State) && Job.isAllDone())
    finishJob(Job, JobState::Completed, Now);
}

auto ShardScheduler::runLost(const RunId &Id, TimePoint) -> void {
  auto *Job = findJob(Id.Job);
  if (!Job || !Runs.contains(Id))
    return;
  releaseRun(Id);
  if (Job->Spec.Steps[Id.Step].Gang)
    stopGang(Id);
}

auto ShardScheduler::runUnsent(const RunId &Id, bool WorkerCausedIt,
                               TimePoint Now) -> void {
  const auto Found = Runs.find(Id);
  if (Found == Runs.end())
    return;
  Found->second.Job->recordUnsentRun(Id.Step, Id.Index, Policy.UnsentRunDelay,
                                     Now);
  if (const auto Target = Workers.find(Found->second.Worker);
      WorkerCausedIt && Target != Workers.end()) {
    Target->second.UnsentRuns.recordFailure(Policy.UnsentRunDelay, Now);
    Target->second.TroubledAt = Now;
  }
  runLost(Id, Now);
}

auto ShardScheduler::stopRun(const RunId &Id, StopReason Reason,
                             const std::string &PreemptingJob) -> void {
  auto Found = Runs.find(Id);
  if (Found == Runs.end() || Found->second.Phase == RunPhase::Stopping)
    return;
  markStopping(Found->second);
  StopDecisions.push_back({Id, Found->second.Worker, Reason, PreemptingJob,
                           Found->second.ProgressPercent});
}

auto ShardScheduler::schedule(TimePoint Now) -> void {
  PassNeeded = false;
  RunSupervision Supervision(*this, Now);
  Supervision.stopStalledGangMembers();
  Supervision.stopRunsOnLeavingWorkers();
  updateGuaranteedJobs();
  updateTimeFactors(Now);
  Shares.update(Now);
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

auto ShardScheduler::markWorkerChanged(const std::string &Id) -> void {
  ChangedWorkers.insert(Id);
  PassNeeded = true;
}

auto ShardScheduler::addRun(Run NewRun, WorkerEntry &Target) -> void {
  const auto &Need = NewRun.Job->Spec.Steps[NewRun.Id.Step].Need;
  const auto Id = NewRun.Id;
  Target.Used += Need;
  Shares.occupy(NewRun.Job->Spec.Tenant, Need);
  if (NewRun.Phase == RunPhase::Stopping)
    Target.Stopping += Need;
  const auto Position = Runs.emplace(Id, std::move(NewRun)).first;
  Target.Runs.emplace(Id, &Position->second);
  ChangedWorkers.insert(Target.Report.Id);
}

auto ShardScheduler::assign(JobEntry &Job, std::uint32_t Step,
                            std::uint32_t Index, std::uint32_t RunNumber,
                            WorkerEntry &Target, TimePoint Now) -> void {
  const auto &Report = Target.Report;
  const auto &Shared =
      Job.Progress
          .Steps[Step][sharedProgressIndex(Job.Spec.Steps[Step], Index)];
  Job.placeTask(Step, Index, RunNumber, Report.Id, Report.Incarnation);
  PlacedWork +=
      Job.Spec.Steps[Step].Need.coreEquivalents() *
      std::chrono::duration<double>(RunTimes.expectedTime(Job.Spec, Step))
          .count();
  addRun({{Job.Spec.Id, Step, Index, RunNumber},
          &Job,
          Report.Id,
          Report.Incarnation,
          RunPhase::Assigned,
          Now,
          Now,
          0,
          Now,
          Now,
          Shared.Checkpoint.empty()},
         Target);
  markChanged(Job.Spec.Id);
}

auto ShardScheduler::markStopping(Run &LiveRun) -> void {
  LiveRun.Phase = RunPhase::Stopping;
  const auto Found = Workers.find(LiveRun.Worker);
  if (Found != Workers.end())
    Found->second.Stopping += LiveRun.Job->Spec.Steps[LiveRun.Id.Step].Need;
  markWorkerChanged(LiveRun.Worker);
}

auto ShardScheduler::releaseRun(const RunId &Id) -> void {
  auto Found = Runs.find(Id);
  if (Found == Runs.end())
    return;
  auto &Job = *Found->second.Job;
  const auto &Need = Job.Spec.Steps[Id.Step].Need;
  Shares.release(Job.Spec.Tenant, Need);
  auto WorkerIt = Workers.find(Found->second.Worker);
  if (WorkerIt != Workers.end()) {
    auto &Entry = WorkerIt->second;
    Entry.Runs.erase(Id);
    Entry.Used -= Need;
    if (Found->second.Phase == RunPhase::Stopping)
      Entry.Stopping -= Need;
    markWorkerChanged(WorkerIt->first);
    if (!Entry.Registered && Entry.Runs.empty())
      removeWorker(WorkerIt);
  }
  Runs.erase(Found);
  if (Job.Progress.Steps[Id.Step][Id.Index].LastRunNumber == Id.Run)
    Job.vacateTask(Id.Step, Id.Index);
  PassNeeded = true;
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
  // The members of a gang fail together, and a late report may concern an
  // earlier run than the last failure.
  if (Id.Run <= SharedProgress.LastFailedRunNumber || SharedProgress.Done)
    return;
  SharedProgress.LastFailedRunNumber = Id.Run;
  ++SharedProgress.FailureCount;
  markChanged(Id.Job);
  if (SharedProgress.FailureCount >= Job.Spec.MaxAttempts &&
      !isFinal(Job.Progress.State))
    finishJob(Job, JobState::Failed, Now);
}

auto ShardScheduler::recordSuccess(JobEntry &Job, const RunId &Id,
                                   TimePoint Now) -> void {
  if (const auto *LiveRun = run(Id)) {
    auto WorkerIt = Workers.find(LiveRun->Worker);
    if (WorkerIt != Workers.end()) {
      WorkerIt->second.FailedJobs.clear();
      RunTimes.recordSuccess(*LiveRun, WorkerIt->second, Now);
    }
  }
  if (Job.Spec.Steps[Id.Step].Gang) {
    // The members of a gang succeed together, so the success of one member
    // marks all of them as done.
    for (std::uint32_t Index = 0; Index < Job.Spec.Steps[Id.Step].Count;
         ++Index)
      Job.markTaskDone(Id.Step, Index);
  } else {
    Job.markTaskDone(Id.Step, Id.Index);
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
  Entry.TroubledAt = Now;
  if (Entry.FailedJobs.size() >= Policy.QuarantineFailures)
    Entry.QuarantinedUntil = Now + Policy.QuarantineDuration;
}

auto ShardScheduler::finishJob(JobEntry &Job, JobState State, TimePoint Now)
    -> void {
  Job.Progress.State = State;
  Job.FinishedAt = Now;
  Job.releaseMeasuredWork();
  ActiveJobs.erase(Job.Sequence);
  PassNeeded = true;
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
  // Only a stalled member of a gang can be detected early, by comparing it with
  // the others, so frequent polling pays off only for gangs.
  if (!LiveRun || LiveRun->Job->Spec.Priority != 0 ||
      !LiveRun->Job->Spec.Steps[Id.Step].Gang ||
      LiveRun->ProgressPercent >= CompletePercent)
    return RunPollRate::Normal;
  return Now - LiveRun->AssignedAt < Policy.HighPollRateDuration
             ? RunPollRate::High
             : RunPollRate::Elevated;
}

auto ShardScheduler::updateGuaranteedJobs() -> void {
  std::map<std::string, std::int64_t> RequestedGpus;
  for (const auto &[Sequence, Job] : ActiveJobs) {
    if (Job->Spec.Priority != 0)
      continue;
    auto &Sum = RequestedGpus[Job->Spec.Tenant];
    Sum += Job->TotalGpus;
    const auto Limit = Guarantees.find(Job->Spec.Tenant);
    Job->Guaranteed = Limit != Guarantees.end() && Sum <= Limit->second;
  }
}

auto ShardScheduler::slowestInTime(const JobEntry &Job) const -> SpeedClass {
  const std::chrono::duration<double> Objective(Job.ObjectiveSeconds);
  return SpeedPreference::forTasks(
             JobTimeEstimate(Job, RunTimes).total(),
             std::chrono::duration_cast<Milliseconds>(Objective))
      .slowestPossible();
}

auto ShardScheduler::timeFactor(const WorkerEntry &Entry) const -> double {
  if (!KnownTimeFactors)
    return RunTimes.timeFactor(Entry);
  const auto Known = KnownTimeFactors->find(Entry.Report.Id);
  return Known == KnownTimeFactors->end() ? 1.0 : Known->second;
}

auto ShardScheduler::updateTimeFactors(TimePoint Now) -> void {
  if (!RunTimes.refresh(Workers, Now) && !KnownTimeFactors)
    return;
  for (auto &[Id, Entry] : Workers)
    Entry.TimeFactor = timeFactor(Entry);
}

} // namespace jayramp::scheduling
