#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Jobs/EventQueue.h"
#include "Jobs/GangController.h"

#include <algorithm>
#include <utility>

namespace jayramp {

namespace {

// Time between the first prepare and the last start. Prepared tasks whose
// lease may have ended must not be started, because that would leave a partial
// gang.
constexpr Milliseconds StartLimit{2000};
// Timers of worker and scheduler differ a little.
constexpr Milliseconds LeaseSlack{200};
constexpr Milliseconds StopRepeat{300};
// A worker that refused a task is left out for so long.
constexpr Milliseconds AvoidTime{2000};

auto isEnded(const std::string &State) -> bool {
  return State == "finished" || State == "failed" || State == "stopped";
}

auto unixNow() -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto stateOf(const std::vector<TaskStatus> &Tasks, const std::string &Task)
    -> std::string {
  // The newest entry of a name is the last.
  for (auto Entry = Tasks.rbegin(); Entry != Tasks.rend(); ++Entry)
    if (Entry->Task == Task)
      return Entry->State;
  return "stopped";
}

} // namespace

auto GangController::makeGang(const JobRow &Row, bool Guaranteed) const
    -> Gang {
  Gang Made;
  Made.Job = Row.Specification.Id;
  Made.Account = Row.Specification.Account;
  Made.Attempt = Row.Attempt;
  Made.Task = Made.Job + "." + std::to_string(Row.Attempt) + "." +
              std::to_string(Row.Epoch);
  Made.Lease = Guaranteed ? Settings.GuaranteedLease : Settings.SurplusLease;
  for (const auto &Place : Row.Placement)
    Made.Members[Place.Worker].Accelerators.push_back(Place.Accelerator);
  return Made;
}

auto GangController::order(const Gang &Target, const std::string &Worker) const
    -> TaskOrder {
  return {Target.Task, Target.Job, Target.Members.at(Worker).Accelerators,
          Target.Lease};
}

auto GangController::findGang(const std::string &Job, const std::string &Task)
    -> Gang * {
  auto Found = Gangs.find(Job);
  return Found == Gangs.end() || Found->second.Task != Task ? nullptr
                                                            : &Found->second;
}

// Start.

auto GangController::advance(Gang &Target, TimePoint Now) -> void {
  if (Target.Phase == GangPhase::Stopping) {
    if (advanceStop(Target, Now))
      stopFinished(Target);
    return;
  }
  if (Target.Phase == GangPhase::Running || Target.Outstanding > 0)
    return;
  if (Target.StepFailed ||
      (Target.Phase != GangPhase::Reserving && Now >= Target.StepEnd)) {
    Counters.count("jayramp_gang_starts_total", "result=\"failed\"");
    beginStop(Target, StopStep::Stop, "start failed");
    return;
  }
  switch (Target.Phase) {
  case GangPhase::Reserving:
    // Without the durable reservation the next scheduler could not know where
    // this gang may be, so nothing is reserved in a store outage.
    if (!Rows.isStored(Target.Job, JobRowState::Reserved, Target.Attempt))
      return;
    Target.StepEnd = Now + StartLimit;
    Target.Phase = GangPhase::Preparing;
    sendStep(Target, TaskVerb::Prepare, "prepared");
    return;
  case GangPhase::Preparing:
    Target.Phase = GangPhase::Confirming;
    Rows.change(Target.Job, [](JobRow &Row) {
      Row.State = JobRowState::Started;
      Row.StartedMs = unixNow();
      Row.Reason.clear();
      Row.Detail.clear();
      Row.Remedy.clear();
    });
    return;
  case GangPhase::Confirming:
    // In a store outage the durable reservation suffices: a new scheduler
    // stops all tasks of a reserved gang before it uses its places.
    if (!StoreDown &&
        !Rows.isStored(Target.Job, JobRowState::Started, Target.Attempt))
      return;
    Target.Phase = GangPhase::Starting;
    sendStep(Target, TaskVerb::Start, "running");
    return;
  case GangPhase::Starting:
    Target.Phase = GangPhase::Running;
    Counters.count("jayramp_gang_starts_total", "result=\"started\"");
    logGang("gang_started", Target);
    for (const auto &[Worker, Member] : Target.Members)
      if (Member.Ended)
        reportEnd(Target, Worker, Member.State);
    return;
  default:
    return;
  }
}

auto GangController::sendStep(Gang &Target, TaskVerb Verb, const char *Expected)
    -> void {
  Target.AnyCallMade = true;
  for (auto &[Worker, Member] : Target.Members) {
    auto Address = addressOf(Worker);
    if (Address.empty()) {
      Target.StepFailed = true;
      continue;
    }
    ++Target.Outstanding;
    Member.LeaseUntil = Clock::now() + Settings.CallTimeout + Target.Lease;
    Calls->control(Address, {Verb, Epoch, {order(Target, Worker)}},
                   [this, Started = Generation, Job = Target.Job,
                    Task = Target.Task, Worker = Worker, Verb,
                    Expected = std::string(Expected)](
                       const Result<std::vector<TaskStatus>> &Answer) {
                     if (Started == Generation)
                       stepAnswered(Job, Task, Worker, Verb, Expected, Answer);
                   });
  }
}

auto GangController::stepAnswered(const std::string &Job,
                                  const std::string &Task,
                                  const std::string &Worker, TaskVerb Verb,
                                  const std::string &Expected,
                                  const Result<std::vector<TaskStatus>> &Answer)
    -> void {
  auto *Target = findGang(Job, Task);
  if (Target == nullptr)
    return;
  --Target->Outstanding;
  auto &Member = Target->Members.at(Worker);
  if (!Answer) {
    Target->StepFailed = true;
    noteFailure(Worker, Answer.error());
    if (auto Found = Directory.find(Worker);
        Found != Directory.end() && Answer.error().kind() != ErrorKind::Fenced)
      Found->second.Lost = true;
    logGang("gang_step_failed", *Target,
            Worker + ": " + Answer.error().message());
    return;
  }
  const auto Now = Clock::now();
  Member.State = stateOf(Answer.value(), Task);
  Member.LastAlive = Now;
  Member.Ended = isEnded(Member.State);
  // A short task may have ended before the answer; a failure is reported once
  // the step is over.
  if (Member.State == Expected ||
      (Verb == TaskVerb::Start && Member.State == "finished"))
    return;
  Target->StepFailed = true;
  logGang("gang_step_failed", *Target, Worker + ": " + Member.State);
  if (Verb == TaskVerb::Start && Member.State == "failed") {
    reportEnd(*Target, Worker, Member.State);
  } else if (auto Found = Directory.find(Worker); Found != Directory.end()) {
    Found->second.AvoidUntil = Now + AvoidTime;
  }
}

// Stop.

auto GangController::beginStop(Gang &Target, StopStep First,
                               const std::string &Cause) -> void {
  if (Target.Phase == GangPhase::Stopping) {
    // A cancelled or broken gang need not go through the reclaim steps.
    if (First == StopStep::Stop && Target.Step < StopStep::Stop)
      enterStopStep(Target, StopStep::Stop, Clock::now());
    return;
  }
  Target.Phase = GangPhase::Stopping;
  Target.StopBegan = Clock::now();
  logGang("gang_stopping", Target, Cause);
  enterStopStep(Target, First, Clock::now());
}

auto GangController::enterStopStep(Gang &Target, StopStep Step, TimePoint Now)
    -> void {
  Target.Step = Step;
  Target.NextOrder = Now;
  switch (Step) {
  case StopStep::Checkpoint:
    Target.StepEnd = Now + Settings.CheckpointTimeout;
    return;
  case StopStep::Throttle:
    Target.StepEnd = Now + Settings.ThrottleTimeout;
    return;
  case StopStep::Stop:
    Target.StepEnd = Now + Settings.StopTimeout;
    return;
  case StopStep::LeaseEnd:
    Target.StepEnd = Now;
    for (const auto &[Worker, Member] : Target.Members)
      if (!Member.Ended)
        Target.StepEnd =
            std::max(Target.StepEnd, Member.LeaseUntil + LeaseSlack);
    return;
  }
}

auto GangController::advanceStop(Gang &Target, TimePoint Now) -> bool {
  if (!Target.AnyCallMade)
    return true;
  auto All = [&Target](auto Condition) {
    return std::all_of(
        Target.Members.begin(), Target.Members.end(),
        [&Condition](const auto &Entry) { return Condition(Entry.second); });
  };
  if (All([](const GangMember &Member) { return Member.Ended; }) &&
      Target.Outstanding == 0)
    return true;
  const bool Saved =
      Target.Step == StopStep::Checkpoint && All([](const GangMember &Member) {
        return Member.Ended || Member.State == "checkpointed";
      });
  if (Saved)
    enterStopStep(Target, StopStep::Stop, Now);
  else if (Now >= Target.StepEnd) {
    if (Target.Step == StopStep::LeaseEnd)
      return true;
    enterStopStep(
        Target, static_cast<StopStep>(static_cast<int>(Target.Step) + 1), Now);
  }
  // A call of the start that is still under way could overtake a stop.
  if (Now >= Target.NextOrder && Target.Outstanding == 0)
    sendStop(Target, Now);
  return false;
}

auto GangController::sendStop(Gang &Target, TimePoint Now) -> void {
  // The first two steps are sent once; a stop is repeated until it is answered.
  const bool Repeat = Target.Step >= StopStep::Stop;
  Target.NextOrder = Repeat ? Now + StopRepeat : TimePoint::max();
  auto Verb = TaskVerb::Stop;
  if (Target.Step == StopStep::Checkpoint)
    Verb = TaskVerb::Checkpoint;
  else if (Target.Step == StopStep::Throttle)
    Verb = TaskVerb::Throttle;
  for (auto &[Worker, Member] : Target.Members) {
    auto Address = addressOf(Worker);
    if (Member.Ended || Address.empty())
      continue;
    ++Target.Outstanding;
    Calls->control(
        Address, {Verb, Epoch, {order(Target, Worker)}},
        [this, Started = Generation, Job = Target.Job, Task = Target.Task,
         Worker = Worker](const Result<std::vector<TaskStatus>> &Answer) {
          if (Started == Generation)
            stopAnswered(Job, Task, Worker, Answer);
        });
  }
}

auto GangController::stopAnswered(const std::string &Job,
                                  const std::string &Task,
                                  const std::string &Worker,
                                  const Result<std::vector<TaskStatus>> &Answer)
    -> void {
  auto *Target = findGang(Job, Task);
  if (Target == nullptr)
    return;
  --Target->Outstanding;
  if (!Answer) {
    noteFailure(Worker, Answer.error());
    return;
  }
  auto &Member = Target->Members.at(Worker);
  Member.State = stateOf(Answer.value(), Task);
  Member.LastAlive = Clock::now();
  Member.Ended = isEnded(Member.State);
}

auto GangController::stopFinished(Gang &Target) -> void {
  const auto Job = Target.Job;
  const auto Attempt = Target.Attempt;
  const auto Task = Target.Task;
  const auto Now = Clock::now();
  Counters.observe("jayramp_gang_stop_seconds", {}, Now - Target.StopBegan);
  Counters.count("jayramp_gang_stops_total");
  logGang("gang_stopped", Target,
          std::to_string(
              std::chrono::duration_cast<Milliseconds>(Now - Target.StopBegan)
                  .count()) +
              " ms");
  Gangs.erase(Job);
  const JobRecord *Known = Scheduler ? Scheduler->findJob(Job) : nullptr;
  Rows.change(Job, [Known](JobRow &Row) {
    Row.State = JobRowState::Pending;
    Row.Placement.clear();
    if (Known == nullptr)
      return;
    Row.FailedWorkers.assign(Known->FailedWorkers.begin(),
                             Known->FailedWorkers.end());
    Row.Failures = Known->Failures;
  });
  if (!Scheduler)
    return;
  if (Known != nullptr)
    Scheduler->recordGangStopped(Job, Attempt);
  else if (const auto *Row = Rows.find(Job))
    restoreOne(*Row, Now); // Reserved by a former scheduler.
  NextDecision = TimePoint();
}

// Renewal.

auto GangController::isWhole(const Gang &Target, TimePoint Now) const -> bool {
  // One missed round counts: the lease of the others must not outlive a lost
  // member by more than a lease.
  const auto Limit = Settings.RenewInterval + Settings.CallTimeout +
                     Settings.RenewInterval / 10;
  return std::all_of(
      Target.Members.begin(), Target.Members.end(), [&](const auto &Entry) {
        return Entry.second.Ended || Now - Entry.second.LastAlive <= Limit;
      });
}

auto GangController::renewRound(TimePoint Now) -> void {
  std::map<std::string, std::vector<TaskOrder>> Orders;
  std::set<std::string> Probes;
  for (auto &[Job, Target] : Gangs) {
    if (Target.Phase != GangPhase::Running)
      continue;
    if (const auto *Known = Scheduler ? Scheduler->findJob(Job) : nullptr)
      Target.Lease =
          Known->Guaranteed ? Settings.GuaranteedLease : Settings.SurplusLease;
    const bool Whole = isWhole(Target, Now);
    if (!Whole)
      Counters.count("jayramp_gang_renewals_withheld_total");
    for (const auto &[Worker, Member] : Target.Members) {
      if (Member.Ended)
        continue;
      if (Whole)
        Orders[Worker].push_back(order(Target, Worker));
      else
        Probes.insert(Worker); // A status call extends no lease.
    }
  }
  for (auto &[Worker, List] : Orders)
    sendRenewal(Worker, std::move(List));
  for (const auto &Worker : Probes)
    sendProbe(Worker);
}

auto GangController::sendRenewal(const std::string &Worker,
                                 std::vector<TaskOrder> Orders) -> void {
  auto Found = Directory.find(Worker);
  if (Found == Directory.end() || std::exchange(Found->second.Renewing, true))
    return;
  for (const auto &Each : Orders)
    if (auto *Target = findGang(Each.Job, Each.Task)) {
      auto &Member = Target->Members.at(Worker);
      Member.LeaseUntil = std::max(
          Member.LeaseUntil, Clock::now() + Settings.CallTimeout + Each.Lease);
    }
  Calls->control(Found->second.Listed.Address, {TaskVerb::Renew, Epoch, Orders},
                 [this, Started = Generation, Worker,
                  Orders](const Result<std::vector<TaskStatus>> &Answer) {
                   if (Started == Generation)
                     renewed(Worker, Orders, Answer);
                 });
}

auto GangController::sendProbe(const std::string &Worker) -> void {
  auto Found = Directory.find(Worker);
  if (Found == Directory.end() || Found->second.Renewing)
    return;
  Found->second.Renewing = true;
  Calls->status(
      Found->second.Listed.Address, Epoch,
      [this, Started = Generation, Worker](const Result<WorkerStatus> &Answer) {
        if (Started != Generation)
          return;
        std::vector<TaskOrder> Probed;
        for (const auto &[Job, Target] : Gangs)
          if (Target.Phase == GangPhase::Running &&
              Target.Members.contains(Worker))
            Probed.push_back(order(Target, Worker));
        if (Answer)
          renewed(Worker, Probed, Answer.value().Tasks);
        else
          renewed(Worker, Probed, Answer.error());
      });
}

auto GangController::renewed(const std::string &Worker,
                             const std::vector<TaskOrder> &Orders,
                             const Result<std::vector<TaskStatus>> &Answer)
    -> void {
  if (auto Found = Directory.find(Worker); Found != Directory.end())
    Found->second.Renewing = false;
  if (!Answer) {
    noteFailure(Worker, Answer.error());
    Counters.count("jayramp_lease_renewals_total", "result=\"failed\"");
    return;
  }
  Counters.count("jayramp_lease_renewals_total", "result=\"renewed\"",
                 Orders.size());
  for (const auto &Each : Orders)
    if (auto *Target = findGang(Each.Job, Each.Task))
      observe(*Target, Worker, stateOf(Answer.value(), Each.Task));
}

auto GangController::observe(Gang &Target, const std::string &Worker,
                             const std::string &State) -> void {
  auto &Member = Target.Members.at(Worker);
  if (Target.Phase != GangPhase::Running || Member.Ended)
    return;
  Member.LastAlive = Clock::now();
  Member.State = State;
  Member.Ended = isEnded(State);
  if (State == "prepared") {
    // The former scheduler ended between the row and the start. Starting the
    // rest makes the gang whole; a failure stops it.
    logGang("gang_start_repeated", Target, Worker);
    Target.Phase = GangPhase::Confirming;
    Target.StepEnd = Clock::now() + StartLimit;
    return;
  }
  if (!Member.Ended)
    return;
  if (State == "stopped") {
    // Its lease has ended or the worker has restarted.
    Counters.count("jayramp_gang_members_lost_total");
    beginStop(Target, StopStep::Stop, "task stopped on " + Worker);
    return;
  }
  reportEnd(Target, Worker, State);
}

auto GangController::reportEnd(const Gang &Target, const std::string &Worker,
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

auto GangController::findLostWorkers(TimePoint Now) -> void {
  for (const auto &[Job, Target] : Gangs) {
    if (Target.Phase != GangPhase::Running)
      continue;
    for (const auto &[Worker, Member] : Target.Members) {
      auto Found = Directory.find(Worker);
      if (Member.Ended || Found == Directory.end() || Found->second.Lost ||
          Now - Member.LastAlive < Target.Lease)
        continue;
      Found->second.Lost = true;
      Counters.count("jayramp_workers_lost_total");
      logGang("worker_lost", Target, Worker);
    }
  }
}

auto GangController::noteFailure(const std::string &Worker,
                                 const Error &Failure) -> void {
  if (Failure.kind() != ErrorKind::Fenced)
    return;
  // A worker may have seen a view that this host has not adopted yet.
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
