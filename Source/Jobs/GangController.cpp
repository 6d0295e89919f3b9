#include "Jobs/GangController.h"

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Jobs/EventQueue.h"

#include <algorithm>
#include <utility>

namespace jayramp {

namespace {

constexpr Milliseconds IdleInterval{200};
// Results of calls arrive as events; only the bounds of a start, a stop or a
// survey need short steps.
constexpr Milliseconds TransitionInterval{25};
constexpr Milliseconds ActingInterval{100};
constexpr Milliseconds DecisionInterval{1000};
// The lists of 770 workers are too large to be copied in every step.
constexpr Milliseconds ListingInterval{500};
constexpr Milliseconds ExplanationInterval{2000};
constexpr Milliseconds AskInterval{1000};
// Rows that only change their reason must not delay a start.
constexpr std::size_t ExplanationLimit = 64;
// Workers that have not answered by then are placed by their published size.
constexpr Milliseconds SurveyLimit{1000};
constexpr Milliseconds RetryInterval{250};

auto unixNow() -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Unix times of other hosts are only used to order jobs and measure waits.
auto toTimePoint(std::int64_t UnixMs, TimePoint Now) -> TimePoint {
  return Now - Milliseconds(std::max<std::int64_t>(0, unixNow() - UnixMs));
}

auto rowState(JobOutcome End) -> JobRowState {
  switch (End) {
  case JobOutcome::Succeeded:
    return JobRowState::Succeeded;
  case JobOutcome::Failed:
    return JobRowState::Failed;
  case JobOutcome::Cancelled:
    return JobRowState::Cancelled;
  case JobOutcome::Rejected:
    return JobRowState::Rejected;
  }
  return JobRowState::Failed;
}

auto endName(JobOutcome End) -> const char * {
  switch (End) {
  case JobOutcome::Succeeded:
    return "succeeded";
  case JobOutcome::Failed:
    return "failed";
  case JobOutcome::Cancelled:
    return "cancelled";
  case JobOutcome::Rejected:
    return "rejected";
  }
  return "failed";
}

} // namespace

GangController::GangController(GangRunner::Options Settings,
                               GangRunnerInputs Inputs, JobStore &Store,
                               WorkerClient &Workers, Metrics &Counters,
                               EventQueue &Events, PostToStore ToStore)
    : Settings(std::move(Settings)), Inputs(std::move(Inputs)), Store(Store),
      Counters(Counters), Events(Events), ToStore(std::move(ToStore)),
      Workers(Workers) {}

auto GangController::step(TimePoint Now) -> TimePoint {
  followRole();
  if (Current == Stage::Idle)
    return Now + IdleInterval;
  refreshWorkers(Now);
  if (Now >= NextRenewal) {
    NextRenewal = Now + Settings.RenewInterval;
    findLostWorkers(Now);
    renewRound(Now);
  }
  if (Current == Stage::Surveying)
    finishSurvey(Now);
  if (Current == Stage::Acting) {
    if (Now >= NextPoll)
      pollRows();
    tellWorkerStates(Now);
  }
  // A fenced or doubtful host leaves every gang as it is.
  if (Role.MayChangeGangs && FencedEpoch != Epoch) {
    for (auto Next = Gangs.begin(); Next != Gangs.end();) {
      auto &Target = (Next++)->second; // advance() may erase the gang.
      advance(Target, Now);
    }
    if (Current == Stage::Acting) {
      decide(Now);
      if (Now >= NextExplanation) {
        NextExplanation = Now + ExplanationInterval;
        explainWaits();
      }
    }
  }
  if (FencedEpoch != Epoch)
    flush();
  const bool Steady =
      Current == Stage::Acting &&
      std::all_of(Gangs.begin(), Gangs.end(), [](const auto &Entry) {
        return Entry.second.Phase == GangPhase::Running;
      });
  return Now + (Steady ? ActingInterval : TransitionInterval);
}

// Role and takeover.

auto GangController::followRole() -> void {
  auto Newer = Inputs.ReadRole();
  Role = Newer;
  if (!Newer.IsScheduler) {
    if (Current != Stage::Idle) {
      logEvent(LogLevel::Info, "scheduler_ended",
               {{"view", std::to_string(Epoch)}});
      ++Generation;
      Current = Stage::Idle;
      Gangs.clear();
      Rows.clear();
      Scheduler.reset();
      Retry.reset();
    }
    return;
  }
  if (Current != Stage::Idle && Newer.ViewVersion == Epoch)
    return;
  // Two adjacent views with the same scheduler leave no room for another one
  // between them, so what is in progress goes on.
  if (Current != Stage::Idle && Newer.ViewVersion == Epoch + 1) {
    Epoch = Newer.ViewVersion;
    return;
  }
  if (!Newer.MayChangeGangs && Current == Stage::Idle)
    return;
  beginTakeover(Newer.ViewVersion);
}

auto GangController::beginTakeover(std::uint64_t View) -> void {
  logEvent(LogLevel::Info, "scheduler_takeover",
           {{"view", std::to_string(View)}});
  Counters.count("jayramp_scheduler_takeovers_total");
  if (!Calls)
    Calls = std::make_unique<AsyncWorkerClient>(
        Workers, Events, Settings.CallTimeout, Settings.WorkerCallThreads);
  Epoch = View;
  Current = Stage::Loading;
  Gangs.clear();
  Rows.clear();
  Scheduler.reset();
  Retry.reset();
  StoreDown = false;
  PollInProgress = false;
  Cursor = 0;
  NextListing = TimePoint();
  for (auto &[Name, Entry] : Directory) {
    Entry.Asked = Entry.Answered = Entry.Lost = Entry.Renewing = false;
    Entry.NextAsk = TimePoint();
    Entry.Told.clear();
  }
  const auto Started = ++Generation;
  ToStore([this, Started] {
    auto Read = Store.refresh();
    Result<std::vector<WorkerDescription>> Published =
        std::vector<WorkerDescription>();
    if (Read)
      Published = Store.readTopology();
    else
      Published = Read.error();
    Events.post([this, Started, Published] {
      if (Started == Generation)
        rowsLoaded(Published, Clock::now());
    });
  });
}

auto GangController::rowsLoaded(
    const Result<std::vector<WorkerDescription>> &Published, TimePoint Now)
    -> void {
  if (!Published) {
    logEvent(LogLevel::Warning, "scheduler_takeover_delayed",
             {{"error", Published.error().message()}});
    Current = Stage::Idle; // The next step begins again.
    return;
  }
  for (const auto &Worker : Published.value())
    PublishedCounts[Worker.Name] = Worker.Accelerators;
  for (const auto &Row : Store.rowsChangedSince(Cursor))
    if (!Row.isFinal())
      adoptRow(Row, Now);
  Current = Stage::Surveying;
  SurveyEnd = Now + SurveyLimit;
  refreshWorkers(Now);
  NextRenewal = Now; // Leases have run since the last scheduler's renewal.
}

auto GangController::adoptRow(const JobRow &Row, TimePoint Now) -> void {
  Rows.adopt(Row);
  if (Row.State != JobRowState::Started && Row.State != JobRowState::Reserved)
    return;
  const bool Guaranteed = std::all_of(
      Row.Placement.begin(), Row.Placement.end(),
      [](const auto &Place) { return Place.GuaranteedShapeIndex >= 0; });
  auto Added = makeGang(Row, Guaranteed);
  Added.AnyCallMade = true;
  for (auto &[Worker, Member] : Added.Members) {
    Member.LastAlive = Now;
    Member.LeaseUntil = Now + Added.Lease;
  }
  const bool Reserved = Row.State == JobRowState::Reserved;
  Added.Phase = GangPhase::Running;
  auto &Target = Gangs.insert_or_assign(Row.Specification.Id, std::move(Added))
                     .first->second;
  logGang("gang_adopted", Target, Reserved ? "release" : "renew");
  // How far the former scheduler came with the start is not known.
  if (Reserved)
    beginStop(Target, StopStep::Stop, "scheduler changed during the start");
}

auto GangController::finishSurvey(TimePoint Now) -> void {
  if (Directory.empty())
    return;
  const bool AllAnswered =
      std::all_of(Directory.begin(), Directory.end(),
                  [](const auto &Entry) { return Entry.second.Answered; });
  if (!AllAnswered && Now < SurveyEnd)
    return;
  auto Made = Topology::make(describeWorkers());
  if (!Made)
    return; // No worker with accelerators yet.
  Accounts = Inputs.ReadAccounts();
  Scheduler = JobScheduler::make(std::move(Made).value(), Accounts);
  Current = Stage::Acting;
  PublishPending = true;
  restoreJobs(Now);
  NextPoll = NextDecision = Now;
}

auto GangController::restoreJobs(TimePoint Now) -> void {
  std::vector<const JobRow *> Ordered;
  for (const auto &Id : Rows.ids())
    Ordered.push_back(Rows.find(Id));
  std::sort(Ordered.begin(), Ordered.end(), [](auto *Left, auto *Right) {
    const bool LeftStarted = Left->State == JobRowState::Started;
    const bool RightStarted = Right->State == JobRowState::Started;
    if (LeftStarted != RightStarted)
      return LeftStarted;
    auto Order = [LeftStarted](const JobRow &Row) {
      return std::make_pair(LeftStarted ? Row.StartedMs : Row.SubmittedMs,
                            Row.Specification.Id);
    };
    return Order(*Left) < Order(*Right);
  });
  for (const auto *Row : Ordered)
    restoreOne(*Row, Now);
  for (const auto &[Id, Target] : Gangs)
    for (const auto &[Worker, Member] : Target.Members)
      if (Member.Ended && Target.Phase == GangPhase::Running)
        reportEnd(Target, Worker, Member.State);
}

auto GangController::restoreOne(const JobRow &Row, TimePoint Now) -> void {
  const auto Id = Row.Specification.Id;
  RestoredJob Job;
  Job.Specification = Row.Specification;
  Job.Attempt = Row.Attempt;
  Job.SubmittedAt = toTimePoint(Row.SubmittedMs, Now);
  Job.StartedAt = toTimePoint(Row.StartedMs, Now);
  Job.FailedWorkers = Row.FailedWorkers;
  Job.Failures = Row.Failures;
  auto Found = Gangs.find(Id);
  if (Row.State == JobRowState::Reserved && Found != Gangs.end())
    return; // Restored when it has been released.
  if (Row.State == JobRowState::Started)
    Job.Placement = Row.Placement;
  const bool Cancel = Row.CancelRequested;
  auto Restored = Scheduler->restore(Job);
  if (!Restored) {
    logEvent(LogLevel::Error, "job_not_restored",
             {{"job", Id},
              {"account", Job.Specification.Account},
              {"error", Restored.error().message()}});
    if (Found != Gangs.end())
      beginStop(Found->second, StopStep::Stop, "placement is not valid");
    return;
  }
  if (Cancel)
    Scheduler->cancel(Id);
}

// Workers.

auto GangController::refreshWorkers(TimePoint Now) -> void {
  if (Now >= NextListing) {
    NextListing =
        Now + (Directory.empty() ? TransitionInterval : ListingInterval);
    readDirectory();
  }
  for (const auto &[Name, Entry] : Directory)
    if (!Entry.Asked && Now >= Entry.NextAsk &&
        (Entry.Accelerators == 0 || !Entry.Answered || Entry.Lost))
      askWorker(Name, Now);
}

auto GangController::refreshAccounts() -> void {
  if (auto Newer = Inputs.ReadAccounts(); Scheduler && Newer != Accounts) {
    Accounts = std::move(Newer);
    Scheduler->changeAccounts(Accounts);
    NextDecision = TimePoint();
  }
}

auto GangController::topologyComplete() const -> bool {
  return std::all_of(
      Directory.begin(), Directory.end(), [this](const auto &Entry) {
        return Entry.second.CountKnown || PublishedCounts.contains(Entry.first);
      });
}

auto GangController::readDirectory() -> void {
  refreshAccounts();
  auto Listed = Inputs.ReadWorkers();
  if (Listed.empty())
    return; // The host list has not been read yet.
  std::set<std::string> Names;
  bool Changed = false;
  for (auto &Worker : Listed) {
    Names.insert(Worker.Name);
    auto &Entry = Directory[Worker.Name];
    Changed =
        Changed || (Entry.Accelerators > 0 &&
                    (Entry.Listed.Rack != Worker.Rack ||
                     Entry.Listed.AvailabilityZone != Worker.AvailabilityZone));
    Entry.Listed = std::move(Worker);
  }
  Changed = std::erase_if(Directory,
                          [&Names](const auto &Entry) {
                            return !Names.contains(Entry.first);
                          }) > 0 ||
            Changed;
  if (Changed)
    applyTopology();
}

auto GangController::askWorker(const std::string &Name, TimePoint Now) -> void {
  auto &Entry = Directory.at(Name);
  Entry.Asked = true;
  Entry.NextAsk = Now + AskInterval;
  const auto Started = Generation;
  Calls->status(Entry.Listed.Address, Epoch,
                [this, Name, Started](const Result<WorkerStatus> &Answer) {
                  if (Started == Generation)
                    workerAnswered(Name, Answer);
                });
}

auto GangController::workerAnswered(const std::string &Name,
                                    const Result<WorkerStatus> &Answer)
    -> void {
  auto Found = Directory.find(Name);
  if (Found == Directory.end())
    return;
  auto &Entry = Found->second;
  Entry.Asked = false;
  Entry.Answered = true;
  if (!Answer) {
    noteFailure(Name, Answer.error());
    return;
  }
  if (std::exchange(Entry.Lost, false))
    logEvent(LogLevel::Info, "worker_returned", {{"worker", Name}});
  Entry.CountKnown = true;
  if (Answer.value().Accelerators != Entry.Accelerators) {
    Entry.Accelerators = Answer.value().Accelerators;
    applyTopology();
  }
}

auto GangController::describeWorkers() const -> std::vector<WorkerDescription> {
  std::vector<WorkerDescription> Described;
  for (const auto &[Name, Entry] : Directory) {
    auto Count = Entry.Accelerators;
    if (auto Known = PublishedCounts.find(Name);
        Count == 0 && Known != PublishedCounts.end())
      Count = Known->second;
    if (Count > 0)
      Described.push_back(
          {Name, "", Entry.Listed.AvailabilityZone, Entry.Listed.Rack, Count});
  }
  return Described;
}

auto GangController::applyTopology() -> void {
  if (!Scheduler)
    return;
  auto Made = Topology::make(describeWorkers());
  if (!Made)
    return;
  Scheduler->changeTopology(std::move(Made).value());
  PublishPending = true;
  NextDecision = TimePoint();
}

auto GangController::tellWorkerStates(TimePoint Now) -> void {
  for (auto &[Name, Entry] : Directory) {
    const char *State = "live";
    if (Entry.Lost)
      State = "lost";
    else if (Entry.Listed.Leaving || Now < Entry.AvoidUntil)
      State = "leaving";
    if (Entry.Told == State || !Scheduler->workerState(Name))
      continue;
    const bool First = Entry.Told.empty();
    Entry.Told = State;
    if (Entry.Lost)
      Scheduler->markWorkerLost(Name);
    else if (Entry.Told == "leaving")
      Scheduler->markWorkerLeaving(Name);
    else if (!First)
      Scheduler->markWorkerReturned(Name);
    NextDecision = TimePoint();
  }
}

auto GangController::addressOf(const std::string &Worker) const -> std::string {
  auto Found = Directory.find(Worker);
  return Found == Directory.end() ? std::string()
                                  : Found->second.Listed.Address;
}

// Rows.

auto GangController::pollRows() -> void {
  if (PollInProgress)
    return;
  PollInProgress = true;
  NextPoll = Clock::now() + Settings.PollInterval;
  const auto Started = Generation;
  std::vector<WorkerDescription> Publish;
  if (std::exchange(PublishPending, false))
    Publish = Scheduler->topology().workers();
  ToStore([this, Started, Publish, View = Epoch] {
    auto Read = Store.refresh();
    bool Published = true;
    if (Read && !Publish.empty())
      Published = static_cast<bool>(Store.publishTopology(Publish, View));
    const bool Retry = !Published || (!Read && !Publish.empty());
    Events.post([this, Started, Changed = static_cast<bool>(Read), Retry] {
      if (Started != Generation)
        return;
      PollInProgress = false;
      PublishPending = PublishPending || Retry;
      if (Changed)
        applyChanges();
    });
  });
}

auto GangController::applyChanges() -> void {
  // A row may name an account that was accepted just before it; judged by an
  // older list, its job would be rejected for good.
  refreshAccounts();
  for (const auto &Row : Store.rowsChangedSince(Cursor)) {
    const auto &Id = Row.Specification.Id;
    const auto *Known = Rows.find(Id);
    if (Known == nullptr) {
      if (Row.State != JobRowState::Pending || !Scheduler)
        continue;
      Rows.adopt(Row);
      restoreOne(Row, Clock::now());
      NextDecision = TimePoint();
    } else if (!Rows.inBatch(Id) && Row.Version > Rows.storedVersion(Id)) {
      foreignRow(Row);
    }
  }
}

auto GangController::foreignRow(const JobRow &Row) -> void {
  const auto &Id = Row.Specification.Id;
  if (Row.isFinal())
    Rows.forget(Id);
  else
    Rows.adopt(Row);
  if (Scheduler && (Row.isFinal() || Row.CancelRequested))
    Scheduler->cancel(Id);
  NextDecision = TimePoint();
}

auto GangController::flush() -> void {
  if (Retry) {
    if (Clock::now() < NextRetry)
      return;
    sendBatch(*std::exchange(Retry, std::nullopt));
    return;
  }
  auto Batch = Rows.nextBatch(Epoch);
  if (!Batch.Rows.empty())
    sendBatch(Batch);
}

auto GangController::sendBatch(const JobRowWriteBuffer::Batch &Batch) -> void {
  const auto Started = Generation;
  ToStore([this, Started, Batch] {
    auto Outcome = Store.write(Batch.WriteId, Batch.Rows, Batch.ViewVersion);
    Events.post([this, Started, Batch, Outcome] {
      if (Started == Generation)
        batchDone(Batch, Outcome);
    });
  });
}

auto GangController::batchDone(const JobRowWriteBuffer::Batch &Batch,
                               const Result<JobWriteResult> &Outcome) -> void {
  if (!Outcome) {
    if (!std::exchange(StoreDown, true))
      logEvent(LogLevel::Warning, "job_rows_delayed",
               {{"rows", std::to_string(Batch.Rows.size())},
                {"error", Outcome.error().message()}});
    Counters.count("jayramp_job_write_retries_total");
    Retry = Batch;
    NextRetry = Clock::now() + RetryInterval;
    return;
  }
  StoreDown = false;
  if (const auto *Done = std::get_if<JobWriteSuccess>(&Outcome.value())) {
    Rows.batchWritten(Done->Versions);
    return;
  }
  const auto &Lost = std::get<JobWriteConflict>(Outcome.value());
  Counters.count("jayramp_job_write_conflicts_total");
  Rows.batchLost();
  for (const auto &Row : Lost.Current)
    if (Row.Version > Rows.storedVersion(Row.Specification.Id))
      foreignRow(Row);
  if (Lost.ViewChanged && Batch.ViewVersion == Epoch) {
    FencedEpoch = Epoch;
    logEvent(LogLevel::Warning, "scheduler_fenced",
             {{"view", std::to_string(Epoch)}, {"by", "membership/view"}});
    Counters.count("jayramp_scheduler_fenced_total");
  }
}

auto GangController::explainWaits() -> void {
  std::size_t Written = 0;
  for (const auto &Id : Rows.ids()) {
    const auto *Row = Rows.find(Id);
    const auto *Job = Scheduler->findJob(Id);
    if (Job == nullptr || Job->Phase != JobPhase::Pending)
      continue;
    auto Report = Scheduler->waitReport(Id);
    std::string Reason(toString(Report->Reason));
    // A reservation may have been given to a job with a better claim.
    const bool Displaced = Row->State == JobRowState::Reserved;
    if (Row->Reason == Reason && !Displaced)
      continue;
    if (++Written > ExplanationLimit)
      return;
    Rows.change(Id, [&](JobRow &Changed) {
      Changed.State = JobRowState::Pending;
      Changed.Placement.clear();
      Changed.Attempt = Job->Attempt;
      Changed.Reason = Reason;
      Changed.Detail = Report->Detail;
      Changed.Remedy = Report->Remedy;
    });
  }
}

// Decisions.

auto GangController::decide(TimePoint Now) -> void {
  if (Now < NextDecision)
    return;
  NextDecision = Now + DecisionInterval;
  Scheduler->setTopologyComplete(topologyComplete());
  for (const auto &Next : Scheduler->decide(Now))
    std::visit([this](const auto &Value) { carryOut(Value); }, Next);
}

auto GangController::reserveRow(const std::string &Job, std::uint32_t Attempt,
                                const std::vector<AcceleratorPlace> &Placement)
    -> void {
  Rows.change(Job, [&](JobRow &Row) {
    Row.State = JobRowState::Reserved;
    Row.Attempt = Attempt;
    Row.Placement = Placement;
    Row.Epoch = Epoch;
    Row.Reason.clear();
    Row.Detail.clear();
    Row.Remedy.clear();
  });
}

auto GangController::carryOut(const StartGang &Value) -> void {
  const auto *Row = Rows.find(Value.Job);
  if (Row == nullptr) { // Cancelled by a caller meanwhile.
    Scheduler->cancel(Value.Job);
    Scheduler->recordGangStopped(Value.Job, Value.Attempt);
    return;
  }
  if (Row->State != JobRowState::Reserved || Row->Attempt != Value.Attempt ||
      Row->Placement != Value.Placement)
    reserveRow(Value.Job, Value.Attempt, Value.Placement);
  auto Added = makeGang(*Rows.find(Value.Job), Value.Guaranteed);
  logGang("gang_reserving", Added);
  Gangs.insert_or_assign(Value.Job, std::move(Added));
}

auto GangController::carryOut(const ReclaimGangs &Value) -> void {
  reserveRow(Value.Job, Value.Attempt, Value.Placement);
  Rows.change(Value.Job, [](JobRow &Row) {
    Row.Reason = toString(WaitReason::Reclaiming);
    Row.Detail = "has places, surplus gangs on them are stopping";
    Row.Remedy = "none needed; it starts by itself";
  });
  Counters.count("jayramp_gang_reclaims_total", {}, Value.Victims.size());
  for (const auto &Victim : Value.Victims) {
    auto Found = Gangs.find(Victim.Job);
    if (Found == Gangs.end() || Found->second.Attempt != Victim.Attempt)
      Scheduler->recordGangStopped(Victim.Job, Victim.Attempt);
    else
      beginStop(Found->second, StopStep::Checkpoint, "reclaimed");
  }
}

auto GangController::carryOut(const StopGang &Value) -> void {
  auto Found = Gangs.find(Value.Job);
  if (Found == Gangs.end() || Found->second.Attempt != Value.Attempt) {
    Scheduler->recordGangStopped(Value.Job, Value.Attempt);
    NextDecision = TimePoint();
    return;
  }
  beginStop(Found->second, StopStep::Stop, std::string(toString(Value.Reason)));
}

auto GangController::carryOut(const EndJob &Value) -> void {
  Counters.count("jayramp_jobs_ended_total",
                 std::string("state=\"") + endName(Value.Outcome) + "\"");
  if (auto Found = Gangs.find(Value.Job); Found != Gangs.end()) {
    logGang("gang_ended", Found->second, endName(Value.Outcome));
    Gangs.erase(Found);
  }
  if (const auto *Row = Rows.find(Value.Job))
    logEvent(LogLevel::Info, "job_ended",
             {{"job", Value.Job},
              {"account", Row->Specification.Account},
              {"end", endName(Value.Outcome)},
              {"detail", Value.Report.Detail}});
  Rows.change(Value.Job, [&Value](JobRow &Row) {
    Row.State = rowState(Value.Outcome);
    Row.Reason = Value.Report.Reason == WaitReason::None
                     ? std::string()
                     : std::string(toString(Value.Report.Reason));
    Row.Detail = Value.Report.Detail;
    Row.Remedy = Value.Report.Remedy;
    Row.Payload.clear();
  });
}

auto GangController::carryOut(const QuarantineWorker &Value) -> void {
  Counters.count("jayramp_worker_quarantines_total");
  std::string Jobs;
  for (const auto &Job : Value.FailedJobs)
    Jobs += (Jobs.empty() ? "" : ",") + Job;
  logEvent(LogLevel::Warning, "worker_quarantined",
           {{"worker", Value.Worker},
            {"delay_ms", std::to_string(Value.Duration.count())},
            {"failed_jobs", Jobs}});
}

} // namespace jayramp
