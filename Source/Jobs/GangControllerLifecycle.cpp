#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Jobs/EventQueue.h"
#include "Jobs/GangController.h"

#include <algorithm>
#include <utility>

namespace jayramp {

namespace {

// Longest time from the first prepare call to the last start call. Prepared
// tasks whose lease may have expired must not be started, because that would
// leave a partial gang.
constexpr Milliseconds StartTimeout{2000};
// The clocks of worker and scheduler run at slightly different rates.
constexpr Milliseconds LeaseClockTolerance{200};
constexpr Milliseconds StopRepeatInterval{300};
// A worker that refused a task gets no new gangs during this time.
constexpr Milliseconds RefusalAvoidTime{2000};

auto isFinalTaskState(const std::string &State) -> bool {
  return State == "finished" || State == "failed" || State == "stopped";
}

auto currentUnixMs() -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto reportedTaskState(const std::vector<TaskStatus> &Tasks,
                       const std::string &Task) -> std::string {
  // If a task is listed more than once, its last entry is the newest.
  for (auto Entry = Tasks.rbegin(); Entry != Tasks.rend(); ++Entry)
    if (Entry->Task == Task)
      return Entry->State;
  return "stopped";
}

} // namespace

auto GangController::makeGang(const JobRow &Row, bool Guaranteed) const
    -> Gang {
  Gang NewGang;
  NewGang.Job = Row.Specification.Id;
  NewGang.Account = Row.Specification.Account;
  NewGang.Attempt = Row.Attempt;
  NewGang.TaskName = NewGang.Job + "." + std::to_string(Row.Attempt) + "." +
                     std::to_string(Row.Epoch);
  NewGang.LeaseDuration = Guaranteed ? Settings.GuaranteedLeaseDuration
                                     : Settings.SurplusLeaseDuration;
  for (const auto &Place : Row.Placement)
    NewGang.Members[Place.Worker].Accelerators.push_back(Place.Accelerator);
  return NewGang;
}

auto GangController::makeTaskOrder(const Gang &Target,
                                   const std::string &Worker) const
    -> TaskOrder {
  return {Target.TaskName, Target.Job, Target.Members.at(Worker).Accelerators,
          Target.LeaseDuration};
}

auto GangController::findGang(const std::string &Job, const std::string &Task)
    -> Gang * {
  auto Found = Gangs.find(Job);
  return Found == Gangs.end() || Found->second.TaskName != Task
             ? nullptr
             : &Found->second;
}

// Starting.

auto GangController::advanceGang(Gang &Target, TimePoint Now) -> void {
  if (Target.Phase == GangPhase::Stopping) {
    if (advanceStop(Target, Now))
      finishStop(Target);
    return;
  }
  if (Target.Phase == GangPhase::Running || Target.OutstandingCalls > 0)
    return;
  if (Target.StartStepFailed ||
      (Target.Phase != GangPhase::Reserving && Now >= Target.StepDeadline)) {
    Counters.count("jayramp_gang_starts_total", "result=\"failed\"");
    beginStop(Target, StopStep::Stop, "start failed");
    return;
  }
  switch (Target.Phase) {
  case GangPhase::Reserving:
    // Without the durable reservation the next scheduler could not know which
    // workers may run this gang, so no gang starts during a store outage.
    if (!Rows.isStored(Target.Job, JobRowState::Reserved, Target.Attempt))
      return;
    Target.StepDeadline = Now + StartTimeout;
    Target.Phase = GangPhase::Preparing;
    sendStartStep(Target, TaskVerb::Prepare, "prepared");
    return;
  case GangPhase::Preparing:
    Target.Phase = GangPhase::Confirming;
    Rows.change(Target.Job, [](JobRow &Row) {
      Row.State = JobRowState::Started;
      Row.StartedMs = currentUnixMs();
      Row.Reason.clear();
      Row.Detail.clear();
      Row.Remedy.clear();
    });
    return;
  case GangPhase::Confirming:
    // During a store outage the durable reservation suffices: a new scheduler
    // stops all tasks of a reserved gang before it reuses its accelerators.
    if (!StoreUnavailable &&
        !Rows.isStored(Target.Job, JobRowState::Started, Target.Attempt))
      return;
    Target.Phase = GangPhase::Starting;
    sendStartStep(Target, TaskVerb::Start, "running");
    return;
  case GangPhase::Starting:
    Target.Phase = GangPhase::Running;
    Counters.count("jayramp_gang_starts_total", "result=\"started\"");
    logGang("gang_started", Target);
    for (const auto &[Worker, Member] : Target.Members)
      if (Member.TaskEnded)
        reportTaskEnd(Target, Worker, Member.TaskState);
    return;
  default:
    return;
  }
}

auto GangController::sendStartStep(Gang &Target, TaskVerb Verb,
                                   const char *Expected) -> void {
  Target.AnyCallSent = true;
  for (auto &[Worker, Member] : Target.Members) {
    auto Address = workerAddress(Worker);
    if (Address.empty()) {
      Target.StartStepFailed = true;
      continue;
    }
    ++Target.OutstandingCalls;
    Member.LeaseExpiresAt =
        Clock::now() + Settings.CallTimeout + Target.LeaseDuration;
    WorkerCalls->control(
        Address, {Verb, Epoch, {makeTaskOrder(Target, Worker)}},
        [this, CallGeneration = Generation, Job = Target.Job,
         Task = Target.TaskName, Worker = Worker, Verb,
         Expected = std::string(Expected)](
            const Result<std::vector<TaskStatus>> &Reply) {
          if (CallGeneration == Generation)
            handleStartStepReply(Job, Task, Worker, Verb, Expected, Reply);
        });
  }
}

auto GangController::handleStartStepReply(
    const std::string &Job, const std::string &Task, const std::string &Worker,
    TaskVerb Verb, const std::string &Expected,
    const Result<std::vector<TaskStatus>> &Reply) -> void {
  auto *Target = findGang(Job, Task);
  if (Target == nullptr)
    return;
  --Target->OutstandingCalls;
  auto &Member = Target->Members.at(Worker);
  if (!Reply) {
    Target->StartStepFailed = true;
    checkForFencing(Worker, Reply.error());
    if (auto Found = KnownWorkers.find(Worker);
        Found != KnownWorkers.end() &&
        Reply.error().kind() != ErrorKind::Fenced)
      Found->second.IsLost = true;
    logGang("gang_step_failed", *Target,
            Worker + ": " + Reply.error().message());
    return;
  }
  const auto Now = Clock::now();
  Member.TaskState = reportedTaskState(Reply.value(), Task);
  Member.LastReportAt = Now;
  Member.TaskEnded = isFinalTaskState(Member.TaskState);
  // A short task may have finished before the reply. A failure is reported
  // once the step is over.
  if (Member.TaskState == Expected ||
      (Verb == TaskVerb::Start && Member.TaskState == "finished"))
    return;
  Target->StartStepFailed = true;
  logGang("gang_step_failed", *Target, Worker + ": " + Member.TaskState);
  if (Verb == TaskVerb::Start && Member.TaskState == "failed") {
    reportTaskEnd(*Target, Worker, Member.TaskState);
  } else if (auto Found = KnownWorkers.find(Worker);
             Found != KnownWorkers.end()) {
    Found->second.AvoidUntil = Now + RefusalAvoidTime;
  }
}

// Stopping.

auto GangController::beginStop(Gang &Target, StopStep First,
                               const std::string &Cause) -> void {
  if (Target.Phase == GangPhase::Stopping) {
    // A gang that was cancelled or lost a task can skip the reclaim steps.
    if (First == StopStep::Stop && Target.CurrentStopStep < StopStep::Stop)
      enterStopStep(Target, StopStep::Stop, Clock::now());
    return;
  }
  Target.Phase = GangPhase::Stopping;
  Target.StopStartedAt = Clock::now();
  logGang("gang_stopping", Target, Cause);
  enterStopStep(Target, First, Clock::now());
}

auto GangController::enterStopStep(Gang &Target, StopStep Step, TimePoint Now)
    -> void {
  Target.CurrentStopStep = Step;
  Target.NextStopCallAt = Now;
  switch (Step) {
  case StopStep::Checkpoint:
    Target.StepDeadline = Now + Settings.CheckpointTimeout;
    return;
  case StopStep::Throttle:
    Target.StepDeadline = Now + Settings.ThrottleTimeout;
    return;
  case StopStep::Stop:
    Target.StepDeadline = Now + Settings.StopTimeout;
    return;
  case StopStep::LeaseExpiry:
    Target.StepDeadline = Now;
    for (const auto &[Worker, Member] : Target.Members)
      if (!Member.TaskEnded)
        Target.StepDeadline = std::max(
            Target.StepDeadline, Member.LeaseExpiresAt + LeaseClockTolerance);
    return;
  }
}

auto GangController::advanceStop(Gang &Target, TimePoint Now) -> bool {
  if (!Target.AnyCallSent)
    return true;
  auto All = [&Target](auto Condition) {
    return std::all_of(
        Target.Members.begin(), Target.Members.end(),
        [&Condition](const auto &Entry) { return Condition(Entry.second); });
  };
  if (All([](const GangMember &Member) { return Member.TaskEnded; }) &&
      Target.OutstandingCalls == 0)
    return true;
  const bool AllCheckpointed =
      Target.CurrentStopStep == StopStep::Checkpoint &&
      All([](const GangMember &Member) {
        return Member.TaskEnded || Member.TaskState == "checkpointed";
      });
  if (AllCheckpointed)
    enterStopStep(Target, StopStep::Stop, Now);
  else if (Now >= Target.StepDeadline) {
    if (Target.CurrentStopStep == StopStep::LeaseExpiry)
      return true;
    enterStopStep(
        Target,
        static_cast<StopStep>(static_cast<int>(Target.CurrentStopStep) + 1),
        Now);
  }
  // A start call that is still in progress could reach the worker after the
  // stop call.
  if (Now >= Target.NextStopCallAt && Target.OutstandingCalls == 0)
    sendStopStep(Target, Now);
  return false;
}

auto GangController::sendStopStep(Gang &Target, TimePoint Now) -> void {
  // Checkpoint and throttle calls are sent once; a stop call is repeated until
  // the worker replies.
  const bool Repeat = Target.CurrentStopStep >= StopStep::Stop;
  Target.NextStopCallAt = Repeat ? Now + StopRepeatInterval : TimePoint::max();
  auto Verb = TaskVerb::Stop;
  if (Target.CurrentStopStep == StopStep::Checkpoint)
    Verb = TaskVerb::Checkpoint;
  else if (Target.CurrentStopStep == StopStep::Throttle)
    Verb = TaskVerb::Throttle;
  for (auto &[Worker, Member] : Target.Members) {
    auto Address = workerAddress(Worker);
    if (Member.TaskEnded || Address.empty())
      continue;
    ++Target.OutstandingCalls;
    WorkerCalls->control(Address,
                         {Verb, Epoch, {makeTaskOrder(Target, Worker)}},
                         [this, CallGeneration = Generation, Job = Target.Job,
                          Task = Target.TaskName, Worker = Worker](
                             const Result<std::vector<TaskStatus>> &Reply) {
                           if (CallGeneration == Generation)
                             handleStopReply(Job, Task, Worker, Reply);
                         });
  }
}

auto GangController::handleStopReply(
    const std::string &Job, const std::string &Task, const std::string &Worker,
    const Result<std::vector<TaskStatus>> &Reply) -> void {
  auto *Target = findGang(Job, Task);
  if (Target == nullptr)
    return;
  --Target->OutstandingCalls;
  if (!Reply) {
    checkForFencing(Worker, Reply.error());
    return;
  }
  auto &Member = Target->Members.at(Worker);
  Member.TaskState = reportedTaskState(Reply.value(), Task);
  Member.LastReportAt = Clock::now();
  Member.TaskEnded = isFinalTaskState(Member.TaskState);
}

auto GangController::finishStop(Gang &Target) -> void {
  const auto Job = Target.Job;
  const auto Attempt = Target.Attempt;
  const auto Task = Target.TaskName;
  const auto Now = Clock::now();
  Counters.observe("jayramp_gang_stop_seconds", {}, Now - Target.StopStartedAt);
  Counters.count("jayramp_gang_stops_total");
  logGang("gang_stopped", Target,
          std::to_string(std::chrono::duration_cast<Milliseconds>(
                             Now - Target.StopStartedAt)
                             .count()) +
              " ms");
  Gangs.erase(Job);
  const JobRecord *Record = Scheduler ? Scheduler->findJob(Job) : nullptr;
  Rows.change(Job, [Record](JobRow &Row) {
    Row.State = JobRowState::Pending;
    Row.Placement.clear();
    if (Record == nullptr)
      return;
    Row.FailedWorkers.assign(Record->FailedWorkers.begin(),
                             Record->FailedWorkers.end());
    Row.Failures = Record->Failures;
  });
  if (!Scheduler)
    return;
  if (Record != nullptr)
    Scheduler->recordGangStopped(Job, Attempt);
  else if (const auto *Row = Rows.find(Job))
    restoreJob(*Row, Now); // The former scheduler had reserved it.
  NextDecision = TimePoint();
}

// Lease renewal.

auto GangController::allMembersResponsive(const Gang &Target,
                                          TimePoint Now) const -> bool {
  // A member fails the check after one missed renewal: if a worker is lost, the
  // other tasks must not run for more than one lease longer than its task.
  const auto Limit = Settings.RenewInterval + Settings.CallTimeout +
                     Settings.RenewInterval / 10;
  return std::all_of(Target.Members.begin(), Target.Members.end(),
                     [&](const auto &Entry) {
                       return Entry.second.TaskEnded ||
                              Now - Entry.second.LastReportAt <= Limit;
                     });
}

auto GangController::renewLeases(TimePoint Now) -> void {
  std::map<std::string, std::vector<TaskOrder>> OrdersByWorker;
  std::set<std::string> WorkersToProbe;
  for (auto &[Job, Target] : Gangs) {
    if (Target.Phase != GangPhase::Running)
      continue;
    if (const auto *Record = Scheduler ? Scheduler->findJob(Job) : nullptr)
      Target.LeaseDuration = Record->Guaranteed
                                 ? Settings.GuaranteedLeaseDuration
                                 : Settings.SurplusLeaseDuration;
    const bool Responsive = allMembersResponsive(Target, Now);
    if (!Responsive)
      Counters.count("jayramp_gang_renewals_withheld_total");
    for (const auto &[Worker, Member] : Target.Members) {
      if (Member.TaskEnded)
        continue;
      if (Responsive)
        OrdersByWorker[Worker].push_back(makeTaskOrder(Target, Worker));
      else
        WorkersToProbe.insert(Worker); // A status call does not renew leases.
    }
  }
  for (auto &[Worker, List] : OrdersByWorker)
    sendRenewal(Worker, std::move(List));
  for (const auto &Worker : WorkersToProbe)
    sendStatusProbe(Worker);
}

auto GangController::sendRenewal(const std::string &Worker,
                                 std::vector<TaskOrder> Orders) -> void {
  auto Found = KnownWorkers.find(Worker);
  if (Found == KnownWorkers.end() ||
      std::exchange(Found->second.RenewalInProgress, true))
    return;
  for (const auto &Each : Orders)
    if (auto *Target = findGang(Each.Job, Each.Task)) {
      auto &Member = Target->Members.at(Worker);
      Member.LeaseExpiresAt =
          std::max(Member.LeaseExpiresAt,
                   Clock::now() + Settings.CallTimeout + Each.Lease);
    }
  WorkerCalls->control(Found->second.ListEntry.Address,
                       {TaskVerb::Renew, Epoch, Orders},
                       [this, CallGeneration = Generation, Worker,
                        Orders](const Result<std::vector<TaskStatus>> &Reply) {
                         if (CallGeneration == Generation)
                           handleRenewalReply(Worker, Orders, Reply);
                       });
}

auto GangController::sendStatusProbe(const std::string &Worker) -> void {
  auto Found = KnownWorkers.find(Worker);
  if (Found == KnownWorkers.end() || Found->second.RenewalInProgress)
    return;
  Found->second.RenewalInProgress = true;
  WorkerCalls->status(Found->second.ListEntry.Address, Epoch,
                      [this, CallGeneration = Generation,
                       Worker](const Result<WorkerStatus> &Reply) {
                        if (CallGeneration != Generation)
                          return;
                        std::vector<TaskOrder> Probed;
                        for (const auto &[Job, Target] : Gangs)
                          if (Target.Phase == GangPhase::Running &&
                              Target.Members.contains(Worker))
                            Probed.push_back(makeTaskOrder(Target, Worker));
                        if (Reply)
                          handleRenewalReply(Worker, Probed,
                                             Reply.value().Tasks);
                        else
                          handleRenewalReply(Worker, Probed, Reply.error());
                      });
}

auto GangController::handleRenewalReply(
    const std::string &Worker, const std::vector<TaskOrder> &Orders,
    const Result<std::vector<TaskStatus>> &Reply) -> void {
  if (auto Found = KnownWorkers.find(Worker); Found != KnownWorkers.end())
    Found->second.RenewalInProgress = false;
  if (!Reply) {
    checkForFencing(Worker, Reply.error());
    Counters.count("jayramp_lease_renewals_total", "result=\"failed\"");
    return;
  }
  Counters.count("jayramp_lease_renewals_total", "result=\"renewed\"",
                 Orders.size());
  for (const auto &Each : Orders)
    if (auto *Target = findGang(Each.Job, Each.Task))
      recordTaskState(*Target, Worker,
                      reportedTaskState(Reply.value(), Each.Task));
}

auto GangController::recordTaskState(Gang &Target, const std::string &Worker,
                                     const std::string &State) -> void {
  auto &Member = Target.Members.at(Worker);
  if (Target.Phase != GangPhase::Running || Member.TaskEnded)
    return;
  Member.LastReportAt = Clock::now();
  Member.TaskState = State;
  Member.TaskEnded = isFinalTaskState(State);
  if (State == "prepared") {
    // The former scheduler stopped between writing the row and starting all
    // tasks. The start is repeated to complete the gang; if it fails, the gang
    // is stopped.
    logGang("gang_start_repeated", Target, Worker);
    Target.Phase = GangPhase::Confirming;
    Target.StepDeadline = Clock::now() + StartTimeout;
    return;
  }
  if (!Member.TaskEnded)
    return;
  if (State == "stopped") {
    // The lease of the task has expired or the worker has restarted.
    Counters.count("jayramp_gang_members_lost_total");
    beginStop(Target, StopStep::Stop, "task stopped on " + Worker);
    return;
  }
  reportTaskEnd(Target, Worker, State);
}

auto GangController::reportTaskEnd(const Gang &Target,
                                   const std::string &Worker,
                                   const std::string &State) -> void {
  if (!Scheduler)
    return;
  Scheduler->recordTaskEnd(
      {Target.Job, Target.Attempt, Worker,
       State == "finished" ? TaskResult::Finished : TaskResult::Failed},
      Clock::now());
  logGang("task_ended", Target, Worker + ": " + State);
  NextDecision = TimePoint();
}

auto GangController::markLostWorkers(TimePoint Now) -> void {
  for (const auto &[Job, Target] : Gangs) {
    if (Target.Phase != GangPhase::Running)
      continue;
    for (const auto &[Worker, Member] : Target.Members) {
      auto Found = KnownWorkers.find(Worker);
      if (Member.TaskEnded || Found == KnownWorkers.end() ||
          Found->second.IsLost ||
          Now - Member.LastReportAt < Target.LeaseDuration)
        continue;
      Found->second.IsLost = true;
      Counters.count("jayramp_workers_lost_total");
      logGang("worker_lost", Target, Worker);
    }
  }
}

auto GangController::checkForFencing(const std::string &Worker,
                                     const Error &Failure) -> void {
  if (Failure.kind() != ErrorKind::Fenced)
    return;
  // The worker may know a newer view that this host has not adopted yet.
  if (Inputs.ReadRole().ViewVersion != Epoch || FencedEpoch == Epoch)
    return;
  FencedEpoch = Epoch;
  Counters.count("jayramp_scheduler_fenced_total");
  logEvent(LogLevel::Warning, "scheduler_fenced",
           {{"view", std::to_string(Epoch)}, {"by", Worker}});
}

auto GangController::logGang(const char *Event, const Gang &Target,
                             const std::string &Detail) const -> void {
  logEvent(LogLevel::Info, Event,
           {{"job", Target.Job},
            {"account", Target.Account},
            {"entry_host", Settings.HostName},
            {"attempt", std::to_string(Target.Attempt)},
            {"workers", std::to_string(Target.Members.size())},
            {"detail", Detail}});
}

} // namespace jayramp
