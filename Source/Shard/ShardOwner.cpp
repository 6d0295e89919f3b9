#include "Shard/ShardOwner.h"

#include "Base/EventLog.h"
#include "Shard/SuspendAwareClock.h"

#include <algorithm>
#include <set>

namespace jayramp::shard {

namespace {

/// Upper bound of the time between an event and the decision that it causes;
/// events in between are decided together.
constexpr Milliseconds DecisionDelay{2};
constexpr Milliseconds TickInterval{100};
/// Without a heartbeat for this long, writes to the journal show whether the
/// shard is still ours.
constexpr Milliseconds ConfirmAfter{1000};
constexpr store::FollowerTiming JobFollowerPace{
    Milliseconds{1000}, Milliseconds{0}, Milliseconds{100}};

} // namespace

ShardOwner::ShardOwner(Dependencies Needs, std::string Shard, Ownership Held,
                       std::function<void()> OnLost)
    : Needs(Needs), Shard(std::move(Shard)), Rows(this->Shard), Held(Held),
      OnLost(std::move(OnLost)),
      Journal(Scheduler, JournalPartition::Context{
                             Needs.Loop, Needs.Store, Scheduler, Needs.Settings,
                             Rows, Held, [this] { onCommitted(); },
                             [this] { holdUnwritableJobs(); },
                             [this](const char *Reason) { lose(Reason); }}),
      Shared{Needs.Loop,     Needs.Port, Scheduler,
             Needs.Settings, Journal,    Held.Owner.FencingToken},
      TakenAt(Clock::now()) {
  Cleaner =
      std::make_shared<RowCleaner>(Needs.Loop, Needs.Store, Needs.Settings);
  Heartbeat = std::make_shared<OwnerHeartbeat>(
      Needs.Loop, Needs.Store, Rows, Needs.Settings, Held,
      [this] { return waitingCounts(); },
      [this](const char *Reason) { lose(Reason); });
  Shared.MayGrant = [this] {
    // A successor holds all partitions before it acts.
    const auto Confirmed =
        std::max(Heartbeat->lastConfirmed(), Journal.lastConfirmed());
    return suspendAwareNow() - Confirmed <
           this->Needs.Settings.OwnershipTimeout;
  };
  Shared.MayStart = [this] { return workerListIsFresh(); };
  Shared.OnChange = [this] { changed(); };
  Shared.OnFenced = [this] { lose("fenced-by-worker"); };
}

ShardOwner::~ShardOwner() {
  *Alive = false;
  Cleaner->close();
  Needs.Registry.unsubscribe();
  Heartbeat->close();
  Journal.close();
  for (auto &[Id, Session] : Sessions)
    Session->close();
}

auto ShardOwner::start() -> void {
  Journal.open([this](ProgressJournal::Recovered Found) {
    onJournalOpened(std::move(Found));
  });
  Tick = Needs.Loop.after(TickInterval, [this] { tick(); });
}

auto ShardOwner::applyStoredRow(const store::Row &Stored) -> void {
  if (!Lost && !Recovering)
    onJobRows({Stored});
}

auto ShardOwner::setGuarantees(std::map<std::string, std::int64_t> GpusByTenant)
    -> void {
  Scheduler.setGuarantees(std::move(GpusByTenant));
}

auto ShardOwner::onJournalOpened(ProgressJournal::Recovered Found) -> void {
  // From here on no earlier owner can write progress.
  TakenAt = Clock::now();
  RecoveredProgress = std::move(Found);
  // The job table is read after the progress: a job accepted in between is
  // found there, with the progress that it was created with.
  JobFollower = std::make_unique<store::TableFollower>(
      Needs.Loop, Needs.Store, ShardRows::JobTable, Rows.intakePartitions(),
      JobFollowerPace,
      store::TableFollower::Observer{
          [this](std::vector<store::Row> All) { onJobRows(All); },
          [this](std::vector<store::Row> Changed) { onJobRows(Changed); },
          [] {}});
  JobFollower->start();
}

auto ShardOwner::onJobRows(const std::vector<store::Row> &Changed) -> void {
  // Jobs before their cancels.
  for (const auto &Each : Changed)
    if (ShardRows::jobIdOfCancelKey(Each.Key.Key).empty())
      onJobRow(Each);
  for (const auto &Each : Changed)
    if (const auto Job = ShardRows::jobIdOfCancelKey(Each.Key.Key);
        !Job.empty())
      onCancelRow(Job, Each);
  if (Recovering)
    finishRecovery();
  changed();
}

auto ShardOwner::finishRecovery() -> void {
  Recovering = false;
  RecoveredProgress.clear();
  logEvent(LogLevel::Info, "shard-recovered",
           {{"shard", Shard},
            {"token", std::to_string(Held.Owner.FencingToken)},
            {"jobs", std::to_string(Scheduler.jobs().size())},
            {"runs", std::to_string(Scheduler.runs().size())}});
  Needs.Registry.subscribe([this](const auto &Changes, bool IsSnapshot) {
    if (IsSnapshot) {
      std::set<std::string> Present;
      for (const auto &Each : Changes)
        Present.insert(Each.Id);
      std::vector<WorkerChange> Gone;
      for (const auto &[Id, Entry] : Scheduler.workers())
        if (Entry.Registered && !Present.contains(Id))
          Gone.push_back({Id, std::nullopt, 0});
      onWorkers(Gone);
    }
    onWorkers(Changes);
  });
  for (const auto &[Id, Entry] : Scheduler.workers())
    sessionOf(Id);
}

auto ShardOwner::onCancelRow(const std::string &Job, const store::Row &Changed)
    -> void {
  if (Changed.Deleted || !Rows.isIntakePartition(Changed.Key.Partition))
    return;
  const auto *Entry = Scheduler.job(Job);
  if (!Entry)
    return;
  Intakes[Job].insert(Changed.Key.Partition);
  if (isFinal(Entry->Progress.State))
    return;
  logEvent(LogLevel::Info, "job-cancelled", {{"job", Job}});
  Scheduler.cancelJob(Job, Clock::now());
}

auto ShardOwner::onJobRow(const store::Row &Changed) -> void {
  const auto &Id = Changed.Key.Key;
  if (Changed.Deleted || !Rows.isIntakePartition(Changed.Key.Partition))
    return;
  if (Scheduler.job(Id)) {
    // A repeated request: the job is one job, wherever it is stored.
    if (Intakes[Id].insert(Changed.Key.Partition).second)
      WaitingRows.insert(Id);
    return;
  }
  auto Spec = decodeJob(Changed.Value);
  if (!Spec) {
    logEvent(LogLevel::Error, "job-row-malformed",
             {{"job", Id}, {"error", Spec.error().message()}});
    return;
  }
  Intakes[Id].insert(Changed.Key.Partition);
  addJob(Spec.value());
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
    Journal.adopt(Spec.Id, Row->second);
  }
  // The accepting host's time of day may differ from ours or have jumped.
  constexpr std::int64_t MaxAgeMs = 120000;
  const auto AgeMs =
      std::clamp<std::int64_t>(unixNowMs() - Spec.AcceptedUnixMs, 0, MaxAgeMs);
  const auto Age = Recovering ? Milliseconds(AgeMs) : Milliseconds(0);
  Scheduler.addJob(Spec, std::move(Progress), Clock::now() - Age);
  WaitingRows.insert(Spec.Id);
}

auto ShardOwner::onWorkers(const std::vector<WorkerChange> &Changes) -> void {
  for (const auto &Each : Changes)
    onWorker(Each);
  changed();
}

auto ShardOwner::onWorker(const WorkerChange &Change) -> void {
  if (!Change.Report) {
    const auto *Entry = Scheduler.worker(Change.Id);
    if (!Entry)
      return;
    logEvent(LogLevel::Info, "worker-gone", {{"worker", Change.Id}});
    const bool WasDraining = Entry->Report.Draining;
    if (const auto Found = Sessions.find(Change.Id); Found != Sessions.end())
      Found->second->unregistered(WasDraining);
    Scheduler.unregisterWorker(Change.Id);
    return;
  }
  if (Change.Report->Service != Shard)
    return;
  const auto *Before = Scheduler.worker(Change.Id);
  if (Change.Report->Draining && (!Before || !Before->Report.Draining))
    logEvent(LogLevel::Info, "worker-draining", {{"worker", Change.Id}});
  Scheduler.updateWorker(*Change.Report, Clock::now());
  sessionOf(Change.Id).report(Change.ClockMs);
}

auto ShardOwner::sessionOf(const std::string &Worker) -> WorkerSession & {
  auto &Session = Sessions[Worker];
  if (!Session) {
    // Workers seen in the first moments may hold leases of a predecessor.
    const auto &Settings = Needs.Settings;
    std::optional<TimePoint> PredecessorLeases;
    if (Clock::now() - TakenAt < Settings.TakeoverTimeout ||
        Scheduler.worker(Worker)->Runs.size() > 0)
      PredecessorLeases = TakenAt + Settings.OwnershipTimeout +
                          WorkerClock::longestLease(Settings.LeaseDuration);
    Session =
        std::make_shared<WorkerSession>(Shared, Worker, PredecessorLeases);
  }
  return *Session;
}

auto ShardOwner::changed() -> void {
  if (Lost || Recovering || DecisionDue)
    return;
  DecisionDue = true;
  Decision = Needs.Loop.after(DecisionDelay, [this] { decide(); });
}

auto ShardOwner::decide() -> void {
  DecisionDue = false;
  if (Lost)
    return;
  Scheduler.schedule(Clock::now());
  logDecisions();
  pumpSessions();
  if (!Lost)
    Journal.flush();
}

auto ShardOwner::logDecisions() -> void {
  for (const auto &Placed : Scheduler.takePlacementDecisions())
    logEvent(LogLevel::Info, "tasks-placed",
             {{"job", Placed.Job},
              {"step", std::to_string(Placed.Step)},
              {"run", std::to_string(Placed.Run)},
              {"tasks", std::to_string(Placed.Tasks)},
              {"racks", std::to_string(Placed.Racks)},
              {"waited-s", std::to_string(Placed.WaitedSeconds)}});
  for (const auto &Stop : Scheduler.takeStopDecisions())
    logEvent(LogLevel::Info, "task-stopped",
             {{"run", toString(Stop.Run)},
              {"worker", Stop.Worker},
              {"reason", std::string(toString(Stop.Reason))},
              {"for", Stop.PreemptingJob},
              {"percent", std::to_string(Stop.ProgressPercent)}});
}

auto ShardOwner::onCommitted() -> void {
  removeWaitingRows();
  pumpSessions();
}

auto ShardOwner::removeWaitingRows() -> void {
  std::erase_if(WaitingRows, [this](const std::string &Id) {
    const auto *Job = Scheduler.job(Id);
    if (Job && (Job->Progress.State == scheduling::JobState::Pending ||
                !Journal.isDurable(Journal.changeOf(Id))))
      return false;
    if (Job)
      for (const auto &Intake : Intakes[Id])
        Cleaner->remove({ShardRows::waitingKey(Intake, Job->Spec.Queue, Id)});
    return true;
  });
}

auto ShardOwner::pumpSessions() -> void {
  std::vector<std::shared_ptr<WorkerSession>> All;
  for (auto &[Id, Session] : Sessions)
    All.push_back(Session);
  for (auto &Session : All)
    if (!Lost)
      Session->pump();
  std::erase_if(Sessions, [](const auto &Item) { return Item.second->idle(); });
}

auto ShardOwner::workerListIsFresh() const -> bool {
  return Clock::now() - Needs.Registry.completeAsOf() <=
         Needs.Settings.MaxWorkerListAge;
}

auto ShardOwner::reportWorkerList() -> void {
  const bool Fresh = workerListIsFresh();
  if (Fresh == ListWasFresh)
    return;
  ListWasFresh = Fresh;
  logEvent(ListWasFresh ? LogLevel::Info : LogLevel::Warning,
           ListWasFresh ? "worker-list-fresh" : "worker-list-old",
           {{"shard", Shard}});
}

auto ShardOwner::tick() -> void {
  if (Lost)
    return;
  reportWorkerList();
  forgetFinalJobs();
  Heartbeat->flush();
  removeWaitingRows();
  if (suspendAwareNow() - Heartbeat->lastConfirmed() > ConfirmAfter)
    Journal.confirmClaims();
  if (!Recovering)
    decide();
  Tick = Needs.Loop.after(TickInterval, [this] { tick(); });
}

auto ShardOwner::forgetFinalJobs() -> void {
  const auto Before = Clock::now() - Needs.Settings.FinalJobRetention;
  std::vector<std::string> Old;
  for (const auto &[Id, Job] : Scheduler.jobs())
    if (isFinal(Job.Progress.State) && Job.FinishedAt < Before)
      Old.push_back(Id);
  for (const auto &Id : Old)
    // Without its job row a progress row is nothing; a job row alone would be
    // taken as a new job.
    if (Scheduler.removeFinishedJob(Id))
      removeRows(Id);
}

auto ShardOwner::waitingCounts() const
    -> std::optional<std::map<std::string, std::uint64_t>> {
  if (Recovering)
    return std::nullopt;
  std::map<std::string, std::uint64_t> Counts;
  for (const auto &[Id, Job] : Scheduler.jobs())
    if (Job.Progress.State == scheduling::JobState::Pending)
      ++Counts[Job.Spec.Queue];
  return Counts;
}

auto ShardOwner::removeRows(const std::string &Job) -> void {
  const auto Found = Intakes.extract(Job);
  if (Found.empty())
    return;
  const auto Left = std::make_shared<std::size_t>(Found.mapped().size());
  for (const auto &Intake : Found.mapped())
    Cleaner->remove(
        {ShardRows::jobKey(Intake, Job), ShardRows::cancelKey(Intake, Job)},
        [this, Job, Left] {
          if (--*Left == 0)
            Journal.remove(Job);
        });
}

auto ShardOwner::holdUnwritableJobs() -> void {
  for (const auto &[Id, Job] : Scheduler.jobs())
    Scheduler.setOnHold(Id, !Journal.isWritable(Id));
  changed();
}

auto ShardOwner::lose(const char *Reason) -> void {
  if (Lost)
    return;
  Lost = true;
  logEvent(LogLevel::Warning, "shard-lost",
           {{"shard", Shard},
            {"token", std::to_string(Held.Owner.FencingToken)},
            {"reason", Reason}});
  Heartbeat->close();
  Journal.close();
  for (auto &[Id, Session] : Sessions)
    Session->close();
  // The callback destroys this object and so must not be its member.
  Needs.Loop.post([Told = OnLost, Alive = Alive] {
    if (*Alive)
      Told();
  });
}

} // namespace jayramp::shard
