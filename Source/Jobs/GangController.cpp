#include "Jobs/GangController.h"

#include "Base/EventLog.h"
#include "Base/Metrics.h"
#include "Jobs/EventQueue.h"

#include <algorithm>
#include <utility>

namespace jayramp {

namespace {

constexpr Milliseconds IdleStepInterval{200};
// Call results arrive as events. Only the deadlines of a start, a stop or a
// worker query need a short interval.
constexpr Milliseconds TransitionStepInterval{25};
constexpr Milliseconds SteadyStepInterval{100};
constexpr Milliseconds DecisionInterval{1000};
// The worker list, up to 770 entries, is too large to be copied on every call.
constexpr Milliseconds WorkerListInterval{500};
constexpr Milliseconds WaitReasonInterval{2000};
constexpr Milliseconds StatusCallInterval{1000};
// Rows per update. Rows that only change their wait reason must not delay the
// rows of a start.
constexpr std::size_t WaitReasonRowLimit = 64;
// For a worker that has not reported its accelerators by then, the published
// count is used.
constexpr Milliseconds WorkerQueryTimeout{1000};
constexpr Milliseconds BatchRetryInterval{250};

auto currentUnixMs() -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Converts a Unix time in milliseconds that another host has written. The
/// result only serves to order jobs and to measure waiting times.
auto toTimePoint(std::int64_t UnixMs, TimePoint Now) -> TimePoint {
  return Now -
         Milliseconds(std::max<std::int64_t>(0, currentUnixMs() - UnixMs));
}

auto toRowState(JobOutcome End) -> JobRowState {
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

auto jobEndName(JobOutcome End) -> const char * {
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
                               EventQueue &Events,
                               StoreExecutor RunOnStoreThread)
    : Settings(std::move(Settings)), Inputs(std::move(Inputs)), Store(Store),
      Counters(Counters), Events(Events),
      RunOnStoreThread(std::move(RunOnStoreThread)), Workers(Workers) {}

auto GangController::runDueWork(TimePoint Now) -> TimePoint {
  updateRole();
  if (CurrentStage == Stage::Idle)
    return Now + IdleStepInterval;
  refreshWorkers(Now);
  if (Now >= NextRenewal) {
    NextRenewal = Now + Settings.RenewInterval;
    markLostWorkers(Now);
    renewLeases(Now);
  }
  if (CurrentStage == Stage::QueryingWorkers)
    finishWorkerQuery(Now);
  if (CurrentStage == Stage::Scheduling) {
    if (Now >= NextRowPoll)
      pollRows();
    reportWorkerStates(Now);
  }
  // A host that is fenced, or may not serve, changes no gang.
  if (Role.MayChangeGangs && FencedEpoch != Epoch) {
    for (auto Next = Gangs.begin(); Next != Gangs.end();) {
      auto &Target = (Next++)->second; // advanceGang() may erase it.
      advanceGang(Target, Now);
    }
    if (CurrentStage == Stage::Scheduling) {
      decide(Now);
      if (Now >= NextWaitReasonUpdate) {
        NextWaitReasonUpdate = Now + WaitReasonInterval;
        writeWaitReasons();
      }
    }
  }
  if (FencedEpoch != Epoch)
    writeChangedRows();
  const bool NoTransitions =
      CurrentStage == Stage::Scheduling &&
      std::all_of(Gangs.begin(), Gangs.end(), [](const auto &Entry) {
        return Entry.second.Phase == GangPhase::Running;
      });
  return Now + (NoTransitions ? SteadyStepInterval : TransitionStepInterval);
}

// Role and takeover.

auto GangController::updateRole() -> void {
  auto NewRole = Inputs.ReadRole();
  Role = NewRole;
  if (!NewRole.IsScheduler) {
    if (CurrentStage != Stage::Idle) {
      logEvent(LogLevel::Info, "scheduler_ended",
               {{"view", std::to_string(Epoch)}});
      ++Generation;
      CurrentStage = Stage::Idle;
      Gangs.clear();
      Rows.clear();
      Scheduler.reset();
      BatchToRetry.reset();
    }
    return;
  }
  if (CurrentStage != Stage::Idle && NewRole.ViewVersion == Epoch)
    return;
  // If two consecutive views name the same scheduler, no other scheduler can
  // have acted between them, so work in progress continues.
  if (CurrentStage != Stage::Idle && NewRole.ViewVersion == Epoch + 1) {
    Epoch = NewRole.ViewVersion;
    return;
  }
  if (!NewRole.MayChangeGangs && CurrentStage == Stage::Idle)
    return;
  beginTakeover(NewRole.ViewVersion);
}

auto GangController::beginTakeover(std::uint64_t View) -> void {
  logEvent(LogLevel::Info, "scheduler_takeover",
           {{"view", std::to_string(View)}});
  Counters.count("jayramp_scheduler_takeovers_total");
  if (!WorkerCalls)
    WorkerCalls = std::make_unique<AsyncWorkerClient>(
        Workers, Events, Settings.CallTimeout, Settings.WorkerCallThreads);
  Epoch = View;
  CurrentStage = Stage::LoadingRows;
  Gangs.clear();
  Rows.clear();
  Scheduler.reset();
  BatchToRetry.reset();
  StoreUnavailable = false;
  RowPollInProgress = false;
  RowCursor = 0;
  NextWorkerListRead = TimePoint();
  for (auto &[Name, Entry] : KnownWorkers) {
    Entry.StatusCallInProgress = Entry.StatusCallDone = Entry.IsLost =
        Entry.RenewalInProgress = false;
    Entry.NextStatusCallAt = TimePoint();
    Entry.ReportedState.clear();
  }
  const auto CallGeneration = ++Generation;
  RunOnStoreThread([this, CallGeneration] {
    auto Refreshed = Store.refresh();
    Result<std::vector<WorkerDescription>> PublishedTopology =
        std::vector<WorkerDescription>();
    if (Refreshed)
      PublishedTopology = Store.readTopology();
    else
      PublishedTopology = Refreshed.error();
    Events.post([this, CallGeneration, PublishedTopology] {
      if (CallGeneration == Generation)
        handleLoadedRows(PublishedTopology, Clock::now());
    });
  });
}

auto GangController::handleLoadedRows(
    const Result<std::vector<WorkerDescription>> &PublishedTopology,
    TimePoint Now) -> void {
  if (!PublishedTopology) {
    logEvent(LogLevel::Warning, "scheduler_takeover_delayed",
             {{"error", PublishedTopology.error().message()}});
    CurrentStage = Stage::Idle; // The next call begins the takeover again.
    return;
  }
  for (const auto &Worker : PublishedTopology.value())
    PublishedAccelerators[Worker.Name] = Worker.Accelerators;
  for (const auto &Row : Store.rowsChangedSince(RowCursor))
    if (!Row.isFinal())
      adoptRow(Row, Now);
  CurrentStage = Stage::QueryingWorkers;
  WorkerQueryDeadline = Now + WorkerQueryTimeout;
  refreshWorkers(Now);
  NextRenewal = Now; // The last renewal was made by the former scheduler.
}

auto GangController::adoptRow(const JobRow &Row, TimePoint Now) -> void {
  Rows.adopt(Row);
  if (Row.State != JobRowState::Started && Row.State != JobRowState::Reserved)
    return;
  const bool Guaranteed = std::all_of(
      Row.Placement.begin(), Row.Placement.end(),
      [](const auto &Place) { return Place.GuaranteedShapeIndex >= 0; });
  auto NewGang = makeGang(Row, Guaranteed);
  NewGang.AnyCallSent = true;
  for (auto &[Worker, Member] : NewGang.Members) {
    Member.LastReportAt = Now;
    Member.LeaseExpiresAt = Now + NewGang.LeaseDuration;
  }
  const bool Reserved = Row.State == JobRowState::Reserved;
  NewGang.Phase = GangPhase::Running;
  auto &Target =
      Gangs.insert_or_assign(Row.Specification.Id, std::move(NewGang))
          .first->second;
  logGang("gang_adopted", Target, Reserved ? "release" : "renew");
  // It is not known how far the former scheduler got with the start.
  if (Reserved)
    beginStop(Target, StopStep::Stop, "scheduler changed during the start");
}

auto GangController::finishWorkerQuery(TimePoint Now) -> void {
  if (KnownWorkers.empty())
    return;
  const bool AllReported = std::all_of(
      KnownWorkers.begin(), KnownWorkers.end(),
      [](const auto &Entry) { return Entry.second.StatusCallDone; });
  if (!AllReported && Now < WorkerQueryDeadline)
    return;
  auto NewTopology = Topology::make(describeWorkers());
  if (!NewTopology)
    return; // No worker has reported accelerators yet.
  Accounts = Inputs.ReadAccounts();
  Scheduler = JobScheduler::make(std::move(NewTopology).value(), Accounts);
  CurrentStage = Stage::Scheduling;
  TopologyPublishPending = true;
  restoreJobs(Now);
  NextRowPoll = NextDecision = Now;
}

auto GangController::restoreJobs(TimePoint Now) -> void {
  std::vector<const JobRow *> OrderedRows;
  for (const auto &Id : Rows.ids())
    OrderedRows.push_back(Rows.find(Id));
  std::sort(
      OrderedRows.begin(), OrderedRows.end(), [](auto *Left, auto *Right) {
        const bool LeftStarted = Left->State == JobRowState::Started;
        const bool RightStarted = Right->State == JobRowState::Started;
        if (LeftStarted != RightStarted)
          return LeftStarted;
        auto SortKey = [LeftStarted](const JobRow &Row) {
          return std::make_pair(LeftStarted ? Row.StartedMs : Row.SubmittedMs,
                                Row.Specification.Id);
        };
        return SortKey(*Left) < SortKey(*Right);
      });
  for (const auto *Row : OrderedRows)
    restoreJob(*Row, Now);
  for (const auto &[Id, Target] : Gangs)
    for (const auto &[Worker, Member] : Target.Members)
      if (Member.TaskEnded && Target.Phase == GangPhase::Running)
        reportTaskEnd(Target, Worker, Member.TaskState);
}

auto GangController::restoreJob(const JobRow &Row, TimePoint Now) -> void {
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
    return; // It is restored after its reservation has been released.
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
  if (Now >= NextWorkerListRead) {
    NextWorkerListRead = Now + (KnownWorkers.empty() ? TransitionStepInterval
                                                     : WorkerListInterval);
    readWorkerList();
  }
  for (const auto &[Name, Entry] : KnownWorkers)
    if (!Entry.StatusCallInProgress && Now >= Entry.NextStatusCallAt &&
        (Entry.Accelerators == 0 || !Entry.StatusCallDone || Entry.IsLost))
      requestWorkerStatus(Name, Now);
}

auto GangController::refreshAccounts() -> void {
  if (auto NewAccounts = Inputs.ReadAccounts();
      Scheduler && NewAccounts != Accounts) {
    Accounts = std::move(NewAccounts);
    Scheduler->changeAccounts(Accounts);
    NextDecision = TimePoint();
  }
}

auto GangController::isTopologyComplete() const -> bool {
  return std::all_of(KnownWorkers.begin(), KnownWorkers.end(),
                     [this](const auto &Entry) {
                       return Entry.second.AcceleratorsKnown ||
                              PublishedAccelerators.contains(Entry.first);
                     });
}

auto GangController::readWorkerList() -> void {
  refreshAccounts();
  auto ListedWorkers = Inputs.ReadWorkers();
  if (ListedWorkers.empty())
    return; // The host list has not been loaded yet.
  std::set<std::string> Names;
  bool TopologyChanged = false;
  for (auto &Worker : ListedWorkers) {
    Names.insert(Worker.Name);
    auto &Entry = KnownWorkers[Worker.Name];
    TopologyChanged =
        TopologyChanged ||
        (Entry.Accelerators > 0 &&
         (Entry.ListEntry.Rack != Worker.Rack ||
          Entry.ListEntry.AvailabilityZone != Worker.AvailabilityZone));
    Entry.ListEntry = std::move(Worker);
  }
  TopologyChanged = std::erase_if(KnownWorkers,
                                  [&Names](const auto &Entry) {
                                    return !Names.contains(Entry.first);
                                  }) > 0 ||
                    TopologyChanged;
  if (TopologyChanged)
    applyTopology();
}

auto GangController::requestWorkerStatus(const std::string &Name, TimePoint Now)
    -> void {
  auto &Entry = KnownWorkers.at(Name);
  Entry.StatusCallInProgress = true;
  Entry.NextStatusCallAt = Now + StatusCallInterval;
  const auto CallGeneration = Generation;
  WorkerCalls->status(
      Entry.ListEntry.Address, Epoch,
      [this, Name, CallGeneration](const Result<WorkerStatus> &Reply) {
        if (CallGeneration == Generation)
          handleWorkerStatus(Name, Reply);
      });
}

auto GangController::handleWorkerStatus(const std::string &Name,
                                        const Result<WorkerStatus> &Reply)
    -> void {
  auto Found = KnownWorkers.find(Name);
  if (Found == KnownWorkers.end())
    return;
  auto &Entry = Found->second;
  Entry.StatusCallInProgress = false;
  Entry.StatusCallDone = true;
  if (!Reply) {
    checkForFencing(Name, Reply.error());
    return;
  }
  if (std::exchange(Entry.IsLost, false))
    logEvent(LogLevel::Info, "worker_returned", {{"worker", Name}});
  Entry.AcceleratorsKnown = true;
  if (Reply.value().Accelerators != Entry.Accelerators) {
    Entry.Accelerators = Reply.value().Accelerators;
    applyTopology();
  }
}

auto GangController::describeWorkers() const -> std::vector<WorkerDescription> {
  std::vector<WorkerDescription> Descriptions;
  for (const auto &[Name, Entry] : KnownWorkers) {
    auto Count = Entry.Accelerators;
    if (auto Published = PublishedAccelerators.find(Name);
        Count == 0 && Published != PublishedAccelerators.end())
      Count = Published->second;
    if (Count > 0)
      Descriptions.push_back({Name, "", Entry.ListEntry.AvailabilityZone,
                              Entry.ListEntry.Rack, Count});
  }
  return Descriptions;
}

auto GangController::applyTopology() -> void {
  if (!Scheduler)
    return;
  auto NewTopology = Topology::make(describeWorkers());
  if (!NewTopology)
    return;
  Scheduler->changeTopology(std::move(NewTopology).value());
  TopologyPublishPending = true;
  NextDecision = TimePoint();
}

auto GangController::reportWorkerStates(TimePoint Now) -> void {
  for (auto &[Name, Entry] : KnownWorkers) {
    const char *State = "live";
    if (Entry.IsLost)
      State = "lost";
    else if (Entry.ListEntry.Leaving || Now < Entry.AvoidUntil)
      State = "leaving";
    if (Entry.ReportedState == State || !Scheduler->workerState(Name))
      continue;
    const bool FirstReport = Entry.ReportedState.empty();
    Entry.ReportedState = State;
    if (Entry.IsLost)
      Scheduler->markWorkerLost(Name);
    else if (Entry.ReportedState == "leaving")
      Scheduler->markWorkerLeaving(Name);
    else if (!FirstReport)
      Scheduler->markWorkerReturned(Name);
    NextDecision = TimePoint();
  }
}

auto GangController::workerAddress(const std::string &Worker) const
    -> std::string {
  auto Found = KnownWorkers.find(Worker);
  return Found == KnownWorkers.end() ? std::string()
                                     : Found->second.ListEntry.Address;
}

// Job rows.

auto GangController::pollRows() -> void {
  if (RowPollInProgress)
    return;
  RowPollInProgress = true;
  NextRowPoll = Clock::now() + Settings.PollInterval;
  const auto CallGeneration = Generation;
  std::vector<WorkerDescription> TopologyToPublish;
  if (std::exchange(TopologyPublishPending, false))
    TopologyToPublish = Scheduler->topology().workers();
  RunOnStoreThread([this, CallGeneration, TopologyToPublish, View = Epoch] {
    auto Refreshed = Store.refresh();
    bool Published = true;
    if (Refreshed && !TopologyToPublish.empty())
      Published =
          static_cast<bool>(Store.publishTopology(TopologyToPublish, View));
    const bool RetryPublish =
        !Published || (!Refreshed && !TopologyToPublish.empty());
    Events.post([this, CallGeneration,
                 RowsRefreshed = static_cast<bool>(Refreshed), RetryPublish] {
      if (CallGeneration != Generation)
        return;
      RowPollInProgress = false;
      TopologyPublishPending = TopologyPublishPending || RetryPublish;
      if (RowsRefreshed)
        applyRowChanges();
    });
  });
}

auto GangController::applyRowChanges() -> void {
  // A row may name an account that was created just before it. With an outdated
  // account list its job would be rejected permanently.
  refreshAccounts();
  for (const auto &Row : Store.rowsChangedSince(RowCursor)) {
    const auto &Id = Row.Specification.Id;
    const auto *BufferedRow = Rows.find(Id);
    if (BufferedRow == nullptr) {
      if (Row.State != JobRowState::Pending || !Scheduler)
        continue;
      Rows.adopt(Row);
      restoreJob(Row, Clock::now());
      NextDecision = TimePoint();
    } else if (!Rows.isInFlight(Id) && Row.Version > Rows.storedVersion(Id)) {
      applyExternalChange(Row);
    }
  }
}

auto GangController::applyExternalChange(const JobRow &Row) -> void {
  const auto &Id = Row.Specification.Id;
  if (Row.isFinal())
    Rows.remove(Id);
  else
    Rows.adopt(Row);
  if (Scheduler && (Row.isFinal() || Row.CancelRequested))
    Scheduler->cancel(Id);
  NextDecision = TimePoint();
}

auto GangController::writeChangedRows() -> void {
  if (BatchToRetry) {
    if (Clock::now() < NextBatchRetry)
      return;
    writeBatch(*std::exchange(BatchToRetry, std::nullopt));
    return;
  }
  auto Batch = Rows.nextBatch(Epoch);
  if (!Batch.Rows.empty())
    writeBatch(Batch);
}

auto GangController::writeBatch(const JobRowWriteBuffer::Batch &Batch) -> void {
  const auto CallGeneration = Generation;
  RunOnStoreThread([this, CallGeneration, Batch] {
    auto Outcome = Store.write(Batch.WriteId, Batch.Rows, Batch.ViewVersion);
    Events.post([this, CallGeneration, Batch, Outcome] {
      if (CallGeneration == Generation)
        handleBatchResult(Batch, Outcome);
    });
  });
}

auto GangController::handleBatchResult(const JobRowWriteBuffer::Batch &Batch,
                                       const Result<JobWriteResult> &Outcome)
    -> void {
  if (!Outcome) {
    if (!std::exchange(StoreUnavailable, true))
      logEvent(LogLevel::Warning, "job_rows_delayed",
               {{"rows", std::to_string(Batch.Rows.size())},
                {"error", Outcome.error().message()}});
    Counters.count("jayramp_job_write_retries_total");
    BatchToRetry = Batch;
    NextBatchRetry = Clock::now() + BatchRetryInterval;
    return;
  }
  StoreUnavailable = false;
  if (const auto *Success = std::get_if<JobWriteSuccess>(&Outcome.value())) {
    Rows.batchWritten(Success->Versions);
    return;
  }
  const auto &Conflict = std::get<JobWriteConflict>(Outcome.value());
  Counters.count("jayramp_job_write_conflicts_total");
  Rows.batchRejected();
  for (const auto &Row : Conflict.CurrentRows)
    if (Row.Version > Rows.storedVersion(Row.Specification.Id))
      applyExternalChange(Row);
  if (Conflict.ViewChanged && Batch.ViewVersion == Epoch) {
    FencedEpoch = Epoch;
    logEvent(LogLevel::Warning, "scheduler_fenced",
             {{"view", std::to_string(Epoch)}, {"by", "membership/view"}});
    Counters.count("jayramp_scheduler_fenced_total");
  }
}

auto GangController::writeWaitReasons() -> void {
  std::size_t Written = 0;
  for (const auto &Id : Rows.ids()) {
    const auto *Row = Rows.find(Id);
    const auto *Job = Scheduler->findJob(Id);
    if (Job == nullptr || Job->Phase != JobPhase::Pending)
      continue;
    auto Report = Scheduler->waitReport(Id);
    std::string Reason(toString(Report->Reason));
    // The reservation may have been passed to a job of higher precedence.
    const bool ReservationLost = Row->State == JobRowState::Reserved;
    if (Row->Reason == Reason && !ReservationLost)
      continue;
    if (++Written > WaitReasonRowLimit)
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
  Scheduler->setTopologyComplete(isTopologyComplete());
  for (const auto &Next : Scheduler->decide(Now))
    std::visit([this](const auto &Value) { carryOut(Value); }, Next);
}

auto GangController::setRowReserved(
    const std::string &Job, std::uint32_t Attempt,
    const std::vector<AcceleratorPlace> &Placement) -> void {
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

auto GangController::carryOut(const StartGang &Start) -> void {
  const auto *Row = Rows.find(Start.Job);
  if (Row == nullptr) { // A client has cancelled the job in the meantime.
    Scheduler->cancel(Start.Job);
    Scheduler->recordGangStopped(Start.Job, Start.Attempt);
    return;
  }
  if (Row->State != JobRowState::Reserved || Row->Attempt != Start.Attempt ||
      Row->Placement != Start.Placement)
    setRowReserved(Start.Job, Start.Attempt, Start.Placement);
  auto NewGang = makeGang(*Rows.find(Start.Job), Start.Guaranteed);
  logGang("gang_reserving", NewGang);
  Gangs.insert_or_assign(Start.Job, std::move(NewGang));
}

auto GangController::carryOut(const ReclaimGangs &Reclaim) -> void {
  setRowReserved(Reclaim.Job, Reclaim.Attempt, Reclaim.Placement);
  Rows.change(Reclaim.Job, [](JobRow &Row) {
    Row.Reason = toString(WaitReason::Reclaiming);
    Row.Detail = "has places, surplus gangs on them are stopping";
    Row.Remedy = "none needed; it starts by itself";
  });
  Counters.count("jayramp_gang_reclaims_total", {}, Reclaim.Victims.size());
  for (const auto &Victim : Reclaim.Victims) {
    auto Found = Gangs.find(Victim.Job);
    if (Found == Gangs.end() || Found->second.Attempt != Victim.Attempt)
      Scheduler->recordGangStopped(Victim.Job, Victim.Attempt);
    else
      beginStop(Found->second, StopStep::Checkpoint, "reclaimed");
  }
}

auto GangController::carryOut(const StopGang &Stop) -> void {
  auto Found = Gangs.find(Stop.Job);
  if (Found == Gangs.end() || Found->second.Attempt != Stop.Attempt) {
    Scheduler->recordGangStopped(Stop.Job, Stop.Attempt);
    NextDecision = TimePoint();
    return;
  }
  beginStop(Found->second, StopStep::Stop, std::string(toString(Stop.Reason)));
}

auto GangController::carryOut(const EndJob &End) -> void {
  Counters.count("jayramp_jobs_ended_total",
                 std::string("state=\"") + jobEndName(End.Outcome) + "\"");
  if (auto Found = Gangs.find(End.Job); Found != Gangs.end()) {
    logGang("gang_ended", Found->second, jobEndName(End.Outcome));
    Gangs.erase(Found);
  }
  if (const auto *Row = Rows.find(End.Job))
    logEvent(LogLevel::Info, "job_ended",
             {{"job", End.Job},
              {"account", Row->Specification.Account},
              {"end", jobEndName(End.Outcome)},
              {"detail", End.Report.Detail}});
  Rows.change(End.Job, [&End](JobRow &Row) {
    Row.State = toRowState(End.Outcome);
    Row.Reason = End.Report.Reason == WaitReason::None
                     ? std::string()
                     : std::string(toString(End.Report.Reason));
    Row.Detail = End.Report.Detail;
    Row.Remedy = End.Report.Remedy;
    Row.Payload.clear();
  });
}

auto GangController::carryOut(const QuarantineWorker &Quarantine) -> void {
  Counters.count("jayramp_worker_quarantines_total");
  std::string Jobs;
  for (const auto &Job : Quarantine.FailedJobs)
    Jobs += (Jobs.empty() ? "" : ",") + Job;
  logEvent(LogLevel::Warning, "worker_quarantined",
           {{"worker", Quarantine.Worker},
            {"delay_ms", std::to_string(Quarantine.Duration.count())},
            {"failed_jobs", Jobs}});
}

} // namespace jayramp
