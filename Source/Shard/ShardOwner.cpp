#include "Shard/ShardOwner.h"

#include "Base/EventLog.h"
#include "Base/SuspendAwareClock.h"
#include "Shard/ClosedZones.h"
#include "Shard/DecisionLog.h"

#include <algorithm>
#include <set>

namespace jayramp::shard {

namespace {

/// Longest delay between an event and the scheduling decision that it causes;
/// events within this time share one decision.
constexpr Milliseconds DecisionDelay{2};
/// After a decision, at least this multiple of the time that it took is left
/// for other events, so that replies are not kept waiting by decisions.
constexpr int DecisionPauseFactor = 4;
/// Orders of several sessions that are due within this time are sent together.
constexpr Milliseconds OrderBatchInterval{10};
constexpr Milliseconds TickInterval{100};
/// If the last successful heartbeat is older than this, writes to the journal
/// check whether this process still owns the shard.
constexpr Milliseconds MaxHeartbeatAge{1000};
constexpr store::FollowerTiming JobFollowerTiming{
    Milliseconds{1000}, Milliseconds{0}, Milliseconds{100}};

} // namespace

ShardOwner::ShardOwner(Dependencies Deps, std::string Shard,
                       Ownership CurrentOwnership, std::function<void()> OnLost)
    : Deps(Deps), Shard(std::move(Shard)), Rows(this->Shard),
      CurrentOwnership(CurrentOwnership), OnLost(std::move(OnLost)),
      Journal(Scheduler,
              JournalPartition::Context{
                  Deps.Loop, Deps.Store, Scheduler, Deps.Settings, Rows,
                  CurrentOwnership,
                  [this](const auto &Jobs) { onCommitted(Jobs); },
                  [this] { holdBackUnwritableJobs(); },
                  [this](const char *Reason) { loseOwnership(Reason); }}),
      RecoveryLog(this->Shard, CurrentOwnership.Owner.FencingToken,
                  Clock::now()),
      LearnedSpeedLog(this->Shard), LoadLog(this->Shard),
      ContactLog(this->Shard), Intakes(this->Shard),
      Freshness(this->Shard, Deps.Registry, Deps.Settings),
      ZoneLog(this->Shard), SharedContext{Deps.Loop,
                                          Deps.Transport,
                                          Scheduler,
                                          Deps.Settings,
                                          Journal,
                                          Freshness,
                                          CurrentOwnership.Owner.FencingToken} {
  recordOwnershipTaken();
  Cleaner = std::make_shared<RowCleaner>(Deps.Loop, Deps.Store, Deps.Settings);
  Heartbeat = std::make_shared<OwnerHeartbeat>(
      Deps.Loop, Deps.Store, Rows, Deps.Settings, CurrentOwnership,
      [this] { return jobCounts(); },
      [this] { return Scheduler.runTimes().summary(); },
      [this] { return admissionForecast(); },
      [this](const char *Reason) { loseOwnership(Reason); });
  SpeedReader = std::make_shared<SpeedRowReader>(
      Deps.Loop, Deps.Store, Rows, Deps.Settings,
      [this](const scheduling::SpeedSummary &Found) {
        Scheduler.restoreSpeeds(Found, Clock::now());
        Heartbeat->recordStoredSpeeds(Found);
      });
  SharedContext.MayGrantLeases = [this] {
    // A successor claims all partitions before it acts, so a successful write
    // to any of them proves that no successor was acting when it was sent.
    const auto Confirmed =
        std::max(Heartbeat->lastConfirmedAt(), Journal.lastConfirmedAt());
    return suspendAwareNow() - Confirmed < this->Deps.Settings.OwnershipTimeout;
  };
  SharedContext.OnStateChanged = [this] { scheduleDecision(); };
  SharedContext.OnOrdersSent = [this](const WorkerSession &Session) {
    onOrdersSent(Session);
  };
  SharedContext.OnIdle = [this](const WorkerSession &Session) {
    removeSession(Session.worker());
  };
  SharedContext.OnFenced = [this] { loseOwnership("fenced-by-worker"); };
}

ShardOwner::~ShardOwner() {
  *Alive = false;
  Cleaner->close();
  SpeedReader->close();
  Deps.Registry.unsubscribe();
  Heartbeat->close();
  Journal.close();
  for (auto &[Id, Session] : Sessions)
    Session->close();
}

auto ShardOwner::start() -> void {
  Journal.open([this](ProgressJournal::RecoveredRows Found) {
    onJournalOpened(std::move(Found));
  });
  SpeedReader->start();
  TickTimer = Deps.Loop.after(TickInterval, [this] { tick(); });
}

auto ShardOwner::applyStoredRow(const store::Row &Stored) -> void {
  if (OwnershipLost || Recovering)
    return;
  if (!ShardRows::jobIdOfCancelKey(Stored.Key.Key).empty()) {
    onJobRows({Stored});
    return;
  }
  if (Intakes.isRecorded(Stored))
    return;
  const auto Spec = decodeJob(Stored.Value);
  if (!Spec || (IsSettled && !IsSettled(Spec.value().Queue)))
    return;
  onDecodedJob(Stored, Spec.value());
  scheduleDecision();
}

auto ShardOwner::setGuarantees(
    std::map<std::string, std::int64_t> GpusByAccount) -> void {
  Scheduler.setGuarantees(std::move(GpusByAccount));
}

auto ShardOwner::setClosedZones(const ClosedZones &Known) -> void {
  Freshness.setClosedZonesAsOf(Known.CompleteAsOf);
  if (Known.Zones == Scheduler.closedZones())
    return;
  Scheduler.setClosedZones(Known.Zones);
  scheduleDecision();
}

auto ShardOwner::onJournalOpened(ProgressJournal::RecoveredRows Found) -> void {
  // From now on no earlier owner can write progress.
  recordOwnershipTaken();
  RecoveredProgress = std::move(Found);
  // The job table is read after the progress, so that a job accepted in between
  // is found too; it starts with empty progress.
  JobFollower = std::make_unique<store::TableFollower>(
      Deps.Loop, Deps.Store, ShardRows::JobTable, ShardRows::intakePartitions(),
      JobFollowerTiming,
      store::TableFollower::Observer{
          [this](std::vector<store::Row> All) {
            onJobSnapshot(std::move(All));
          },
          [this](std::vector<store::Row> Changed) { onJobRows(Changed); },
          [](Milliseconds) {}, nullptr, nullptr, true});
  JobFollower->start();
}

auto ShardOwner::onJobSnapshot(std::vector<store::Row> All) -> void {
  Intakes.startSnapshot(All);
  std::sort(All.begin(), All.end(), [](const auto &Left, const auto &Right) {
    return Left.Version < Right.Version;
  });
  onJobRows(All);
}

auto ShardOwner::onJobRows(const std::vector<store::Row> &Changed) -> void {
  // Job rows are applied before cancel rows, which refer to them.
  for (const auto &Each : Changed)
    if (ShardRows::jobIdOfCancelKey(Each.Key.Key).empty())
      onJobRow(Each);
  for (const auto &Each : Changed)
    if (const auto Job = ShardRows::jobIdOfCancelKey(Each.Key.Key);
        !Job.empty())
      onCancelRow(Job, Each);
  if (Recovering)
    finishRecovery();
  scheduleDecision();
}

auto ShardOwner::finishRecovery() -> void {
  Recovering = false;
  RecoveredProgress.clear();
  logEvent(LogLevel::Info, "shard-recovered",
           {{"shard", Shard},
            {"token", std::to_string(CurrentOwnership.Owner.FencingToken)},
            {"jobs", std::to_string(Scheduler.jobs().size())},
            {"runs", std::to_string(Scheduler.runs().size())}});
  Deps.Registry.subscribe([this](const auto &Changes, bool IsSnapshot) {
    if (IsSnapshot) {
      std::set<std::string> Present;
      for (const auto &Each : Changes)
        Present.insert(Each.Id);
      std::vector<WorkerChange> RemovedWorkers;
      for (const auto &[Id, Entry] : Scheduler.workers())
        if (Entry.Registered && !Present.contains(Id))
          RemovedWorkers.push_back({Id, std::nullopt, 0});
      onWorkerChanges(RemovedWorkers);
    }
    onWorkerChanges(Changes);
  });
  std::set<std::string> Workers;
  for (const auto &[Id, Entry] : Scheduler.workers()) {
    sessionFor(Id);
    Workers.insert(Id);
  }
  sendOrders(Workers);
}

auto ShardOwner::onCancelRow(const std::string &Job, const store::Row &Changed)
    -> void {
  if (Changed.Deleted || !ShardRows::isIntakePartition(Changed.Key.Partition))
    return;
  // The job may be another shard's. If its row is still to come, the change
  // feed delivers this row again after it.
  const auto *Entry = Scheduler.job(Job);
  if (!Entry)
    return;
  Intakes.recordCancel(Job, Changed.Key.Partition);
  if (isFinal(Entry->Progress.State))
    return;
  logEvent(LogLevel::Info, "job-cancelled", {{"job", Job}});
  Scheduler.cancelJob(Job, Clock::now());
}

auto ShardOwner::onJobRow(const store::Row &Changed) -> void {
  if (!ShardRows::isIntakePartition(Changed.Key.Partition))
    return;
  if (Changed.Deleted) {
    Intakes.recordRemoval(Changed.Key);
    return;
  }
  if (Intakes.isRecorded(Changed))
    return;
  const auto Spec = decodeJob(Changed.Value);
  if (Spec)
    onDecodedJob(Changed, Spec.value());
  else
    logEvent(LogLevel::Error, "job-row-malformed",
             {{"job", Changed.Key.Key}, {"error", Spec.error().message()}});
}

auto ShardOwner::onDecodedJob(const store::Row &Changed,
                              const scheduling::JobSpec &Spec) -> void {
  const bool IsOwn = Intakes.recordJob(Changed, Spec);
  if (Spec.Service != Shard && OnOtherService)
    OnOtherService(Spec.Service);
  if (IsOwn != (Spec.Service == Shard))
    logEvent(LogLevel::Info, "job-stored-for-two-services",
             {{"job", Changed.Key.Key},
              {"shard", Shard},
              {"service", Spec.Service},
              {"runs-here", IsOwn ? "yes" : "no"}});
  if (!IsOwn)
    return;
  // A job that is known already has got a second row by a repeated request.
  if (Scheduler.job(Changed.Key.Key))
    JobsWithWaitingRow.insert(Changed.Key.Key);
  else
    addJob(Spec);
}

auto ShardOwner::addJob(const scheduling::JobSpec &Spec) -> void {
  scheduling::JobProgress Progress;
  const auto Row = RecoveredProgress.find(Spec.Id);
  if (Row != RecoveredProgress.end()) {
    auto Decoded = decodeProgress(Row->second.Row.Value);
    if (!Decoded) {
      logEvent(LogLevel::Error, "progress-row-malformed",
               {{"job", Spec.Id}, {"error", Decoded.error().message()}});
      return;
    }
    Progress = std::move(Decoded).value();
    Journal.restoreRow(Spec.Id, Row->second);
  }
  // Bounded because the wall clock of the accepting host may differ from this
  // host's or may have jumped.
  constexpr std::int64_t MaxAgeMs = 120000;
  const auto AgeMs =
      std::clamp<std::int64_t>(unixNowMs() - Spec.AcceptedUnixMs, 0, MaxAgeMs);
  const auto Age = Recovering ? Milliseconds(AgeMs) : Milliseconds(0);
  Scheduler.addJob(Spec, std::move(Progress), Clock::now() - Age);
  JobsWithWaitingRow.insert(Spec.Id);
}

auto ShardOwner::onWorkerChanges(const std::vector<WorkerChange> &Changes)
    -> void {
  for (const auto &Each : Changes)
    onWorkerChange(Each);
  scheduleDecision();
}

auto ShardOwner::onWorkerChange(const WorkerChange &Change) -> void {
  if (!Change.Report) {
    const auto *Entry = Scheduler.worker(Change.Id);
    if (!Entry)
      return;
    logEvent(LogLevel::Info, "worker-gone", {{"worker", Change.Id}});
    const bool WasDraining = Entry->Report.Draining;
    if (const auto Found = Sessions.find(Change.Id); Found != Sessions.end())
      Found->second->onUnregistered(WasDraining);
    Scheduler.unregisterWorker(Change.Id);
    return;
  }
  if (Change.Report->Service != Shard)
    return;
  const auto *Before = Scheduler.worker(Change.Id);
  if (Change.Report->Draining && (!Before || !Before->Report.Draining))
    logEvent(LogLevel::Info, "worker-draining", {{"worker", Change.Id}});
  Scheduler.updateWorker(*Change.Report, Clock::now());
  sessionFor(Change.Id).onReport(Change);
}

auto ShardOwner::recordOwnershipTaken() -> void {
  const auto &Settings = Deps.Settings;
  OwnershipTakenAt = Clock::now();
  SharedContext.PredecessorLeasesExpireAt =
      OwnershipTakenAt + Settings.OwnershipTimeout +
      WorkerClock::maxLeaseDuration(Settings.LeaseDuration);
}

auto ShardOwner::sessionFor(const std::string &Worker) -> WorkerSession & {
  auto &Session = Sessions[Worker];
  if (!Session) {
    // Workers that appear shortly after the takeover may hold leases granted by
    // the previous owner.
    const auto &Settings = Deps.Settings;
    std::optional<TimePoint> PredecessorLeases;
    if (Clock::now() - OwnershipTakenAt < Settings.TakeoverTimeout ||
        Scheduler.worker(Worker)->Runs.size() > 0)
      PredecessorLeases = SharedContext.PredecessorLeasesExpireAt;
    Session = std::make_shared<WorkerSession>(SharedContext, Worker,
                                              PredecessorLeases);
  }
  return *Session;
}

auto ShardOwner::scheduleDecision() -> void {
  if (OwnershipLost || Recovering || DecisionDue || !Scheduler.needsPass())
    return;
  DecisionDue = true;
  const auto Pause =
      std::chrono::ceil<Milliseconds>(NextDecision - Clock::now());
  DecisionTimer =
      Deps.Loop.after(std::max(DecisionDelay, Pause), [this] { decide(); });
}

auto ShardOwner::decide() -> void {
  DecisionDue = false;
  if (OwnershipLost)
    return;
  const auto Begin = Clock::now();
  Scheduler.setAnswerTimeout(SharedContext.Answers.timeout());
  Scheduler.schedule(Begin);
  logDecisions(Scheduler);
  LoadLog.report(Scheduler, Begin);
  const auto End = Clock::now();
  NextDecision = End + (End - Begin) * DecisionPauseFactor;
  // Orders may change the scheduler's state again, which needs another pass.
  sendOrders(Scheduler.takeChangedWorkers());
  if (OwnershipLost)
    return;
  Journal.flush();
  scheduleDecision();
}

auto ShardOwner::onCommitted(const std::vector<std::string> &Jobs) -> void {
  sendOrders(Schedule.takeAwaiting(Jobs));
}

auto ShardOwner::removeObsoleteWaitingRows() -> void {
  std::erase_if(JobsWithWaitingRow, [this](const std::string &Id) {
    const auto *Job = Scheduler.job(Id);
    if (Job && (Job->Progress.State == scheduling::JobState::Pending ||
                !Journal.isDurable(Journal.latestChange(Id))))
      return false;
    if (Job)
      for (const auto &Key : Intakes.waitingKeys(Id))
        Cleaner->remove({Key});
    return true;
  });
}

auto ShardOwner::sendOrders(const std::set<std::string> &Workers) -> void {
  for (const auto &Worker : Workers) {
    const auto Found = Sessions.find(Worker);
    if (Found == Sessions.end() || OwnershipLost)
      continue;
    // Keeps the session while it sends orders.
    const auto Session = Found->second;
    Session->sendDueOrders();
    if (Session->isIdle())
      removeSession(Worker);
  }
}

auto ShardOwner::removeSession(const std::string &Worker) -> void {
  Schedule.remove(Worker);
  Sessions.erase(Worker);
}

auto ShardOwner::sendDueOrders() -> void {
  const auto Due = Schedule.takeDue(Clock::now() + OrderBatchInterval);
  sendOrders({Due.begin(), Due.end()});
}

auto ShardOwner::onOrdersSent(const WorkerSession &Session) -> void {
  const auto &Worker = Session.worker();
  const auto Due = Session.nextDue();
  if (Due == TimePoint::max())
    Schedule.remove(Worker);
  else
    Schedule.setDue(Worker, Due);
  for (const auto &Job : Session.awaitedJobs())
    Schedule.awaitCommit(Worker, Job);
  startOrderTimer();
}

auto ShardOwner::startOrderTimer() -> void {
  const auto Earliest = Schedule.earliestDue();
  if (Earliest >= OrderTimerDue || OwnershipLost)
    return;
  OrderTimerDue = Earliest;
  const auto Delay = std::chrono::ceil<Milliseconds>(Earliest - Clock::now());
  OrderTimer = Deps.Loop.after(std::max(Delay, OrderBatchInterval), [this] {
    OrderTimerDue = TimePoint::max();
    sendDueOrders();
    // Nothing is due if the visit was put off after the timer had been started.
    startOrderTimer();
  });
}

auto ShardOwner::tick() -> void {
  if (OwnershipLost)
    return;
  Freshness.logChanges();
  // The workers of a zone are counted once they are known.
  if (!Recovering && Freshness.isWorkerListFresh(Deps.Settings.OrderTimeout))
    ZoneLog.update(Scheduler);
  if (ContactLog.isDue(Clock::now()))
    ContactLog.report(workerContacts(), Clock::now());
  LearnedSpeedLog.report(Scheduler.runTimes(), Clock::now());
  forgetFinalJobs();
  Heartbeat->sendIfDue();
  removeObsoleteWaitingRows();
  if (suspendAwareNow() - Heartbeat->lastConfirmedAt() > MaxHeartbeatAge)
    Journal.confirmClaims();
  if (Recovering)
    RecoveryLog.report(Journal.recovery(), Clock::now());
  else if (Clock::now() >= NextDecision)
    decide();
  TickTimer = Deps.Loop.after(TickInterval, [this] { tick(); });
}

auto ShardOwner::forgetFinalJobs() -> void {
  const auto Cutoff = Clock::now() - Deps.Settings.FinalJobRetention;
  std::vector<std::string> ExpiredJobs;
  for (const auto &[Id, Job] : Scheduler.jobs())
    if (isFinal(Job.Progress.State) && Job.FinishedAt < Cutoff)
      ExpiredJobs.push_back(Id);
  for (const auto &Id : ExpiredJobs)
    // The job row is removed before the progress row: a progress row without a
    // job row is ignored, but a job row without progress would be read as a new
    // job.
    if (Scheduler.removeFinishedJob(Id))
      removeJobRows(Id);
}

auto ShardOwner::jobCounts() const -> std::optional<JobCounts> {
  if (Recovering)
    return std::nullopt;
  JobCounts Counts;
  Counts.Total = Scheduler.jobs().size();
  for (const auto &[Id, Job] : Scheduler.jobs())
    if (Job.Progress.State == scheduling::JobState::Pending)
      ++Counts.Waiting[Job.Spec.Queue];
  return Counts;
}

auto ShardOwner::admissionForecast() -> std::optional<AdmissionForecast> {
  return Recovering ? std::nullopt
                    : Forecaster.forecast(Scheduler, Clock::now());
}

auto ShardOwner::workerContacts() const -> WorkerContacts {
  WorkerContacts Known;
  for (const auto &[Id, Session] : Sessions) {
    if (Session->withholdsEnd())
      ++Known.WithWithheldEnd;
    if (!Session->lacksAnswer())
      continue;
    ++Known.NotAnswering;
    if (Clock::now() - Session->lastAsked() < WorkerContactLog::LongestPause)
      continue;
    if (++Known.NotAsked == 1)
      Known.FirstNotAsked = Id;
  }
  return Known;
}

auto ShardOwner::removeJobRows(const std::string &Job) -> void {
  auto Rows = Intakes.extract(Job);
  if (Rows.Others.empty()) {
    removeFirstJobRow(Job, std::move(Rows.First));
    return;
  }
  const auto Remaining = std::make_shared<std::size_t>(Rows.Others.size());
  for (auto &Keys : Rows.Others)
    Cleaner->remove(std::move(Keys),
                    [this, Job, First = Rows.First, Remaining] {
                      if (--*Remaining == 0)
                        removeFirstJobRow(Job, First);
                    });
}

auto ShardOwner::removeFirstJobRow(const std::string &Job,
                                   std::vector<store::RowKey> Keys) -> void {
  Cleaner->remove(std::move(Keys), [this, Job] { Journal.remove(Job); });
}

auto ShardOwner::holdBackUnwritableJobs() -> void {
  for (const auto &[Id, Job] : Scheduler.jobs())
    Scheduler.setOnHold(Id, !Journal.isWritable(Id));
  scheduleDecision();
}

auto ShardOwner::loseOwnership(const char *Reason) -> void {
  if (OwnershipLost)
    return;
  OwnershipLost = true;
  logEvent(LogLevel::Warning, "shard-lost",
           {{"shard", Shard},
            {"token", std::to_string(CurrentOwnership.Owner.FencingToken)},
            {"reason", Reason}});
  Heartbeat->close();
  SpeedReader->close();
  Journal.close();
  for (auto &[Id, Session] : Sessions)
    Session->close();
  // Copied because the callback destroys this object and thereby its member.
  Deps.Loop.post([Callback = OnLost, Alive = Alive] {
    if (*Alive)
      Callback();
  });
}

} // namespace jayramp::shard
