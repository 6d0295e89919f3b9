#include "Shard/ShardOwner.h"

#include "Base/EventLog.h"

#include <set>

namespace jayramp::shard {

namespace {

/// Upper bound of the time between an event and the decision that it causes;
/// events in between are decided together.
constexpr Milliseconds DecisionDelay{2};
constexpr Milliseconds TickInterval{100};
constexpr store::FollowerPace JobFollowerPace{
    Milliseconds{1000}, Milliseconds{0}, Milliseconds{100}};

} // namespace

ShardOwner::ShardOwner(Dependencies Needs, std::string Shard,
                       ProgressCommitter::Ownership Held,
                       std::function<void()> OnLost)
    : Needs(Needs), Shard(std::move(Shard)), Rows(this->Shard), Held(Held),
      OnLost(std::move(OnLost)), Shared{Needs.Loop, Needs.Port, Scheduler,
                                        Needs.Settings, Held.FencingToken},
      TakenAt(Clock::now()) {
  Cleaner =
      std::make_shared<RowCleaner>(Needs.Loop, Needs.Store, Needs.Settings);
  Committer = std::make_shared<ProgressCommitter>(
      Needs.Loop, Needs.Store, Scheduler, Rows, Needs.Settings, Held,
      ProgressCommitter::Callbacks{
          [this] { onCommitted(); },
          [this](const char *Reason) { lose(Reason); }});
  Shared.ChangeNumber = [this] { return Committer->changeNumber(); };
  Shared.IsDurable = [this](std::uint64_t Number) {
    return Committer->isDurable(Number);
  };
  Shared.MayGrant = [this] {
    return suspendAwareNow() - Committer->lastConfirmed() <
           this->Needs.Settings.GrantLimit;
  };
  Shared.OnChange = [this] { changed(); };
  Shared.OnFenced = [this] { lose("fenced-by-worker"); };
}

ShardOwner::~ShardOwner() {
  *Alive = false;
  Cleaner->close();
  Needs.Registry.stop();
  Committer->close();
  for (auto &[Id, Session] : Sessions)
    Session->close();
}

auto ShardOwner::start() -> void {
  readProgress({});
  Tick = Needs.Loop.after(TickInterval, [this] { tick(); });
}

auto ShardOwner::setGuarantees(std::map<std::string, std::int64_t> GpusByTenant)
    -> void {
  Scheduler.setGuarantees(std::move(GpusByTenant));
}

auto ShardOwner::readProgress(std::string From) -> void {
  Needs.Store.read(
      {ShardRows::ProgressTable, Shard, From, {}}, Needs.Settings.StoreTimeout,
      [this, Alive = Alive, From](store::ReadOutcome Outcome) {
        if (!*Alive)
          return;
        auto *Page = std::get_if<store::RowPage>(&Outcome);
        if (!Page) {
          ReadRetry = Needs.Loop.after(Needs.Settings.RetryDelay,
                                       [this, From] { readProgress(From); });
          return;
        }
        std::string Last;
        for (auto &Each : Page->Rows) {
          Last = Each.Key.Key;
          RecoveredProgress[Last] = std::move(Each);
        }
        if (Page->More && !Last.empty()) {
          readProgress(Last + store::KeySuccessor);
          return;
        }
        // The job table is read after the progress table: a job accepted in
        // between is found there, with the progress that it was created with.
        JobFollower = std::make_unique<store::TableFollower>(
            Needs.Loop, Needs.Store, ShardRows::JobTable,
            Rows.intakePartitions(), JobFollowerPace,
            store::TableFollower::Observer{
                [this](std::vector<store::Row> All) { onJobRows(All); },
                [this](std::vector<store::Row> Changed) { onJobRows(Changed); },
                [] {}});
        JobFollower->start();
      });
}

auto ShardOwner::onJobRows(const std::vector<store::Row> &Changed) -> void {
  // Jobs before their cancels.
  for (const auto &Each : Changed)
    if (ShardRows::cancelledJob(Each.Key.Key).empty())
      onJobRow(Each);
  for (const auto &Each : Changed) {
    const auto Cancelled = ShardRows::cancelledJob(Each.Key.Key);
    if (Cancelled.empty() || Each.Deleted || !Rows.isIntake(Each.Key.Partition))
      continue;
    const auto *Job = Scheduler.job(Cancelled);
    if (!Job || isFinal(Job->Progress.State))
      continue;
    logEvent(LogLevel::Info, "job-cancelled", {{"job", Cancelled}});
    Scheduler.cancelJob(Cancelled, Clock::now());
  }
  if (Recovering) {
    Recovering = false;
    RecoveredProgress.clear();
    logEvent(LogLevel::Info, "shard-recovered",
             {{"shard", Shard},
              {"token", std::to_string(Held.FencingToken)},
              {"jobs", std::to_string(Scheduler.jobs().size())},
              {"runs", std::to_string(Scheduler.runs().size())}});
    Needs.Registry.follow([this](const auto &Changes, bool IsSnapshot) {
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
  changed();
}

auto ShardOwner::onJobRow(const store::Row &Changed) -> void {
  if (Changed.Deleted || !Rows.isIntake(Changed.Key.Partition) ||
      Scheduler.job(Changed.Key.Key))
    return;
  auto Spec = decodeJob(Changed.Value);
  if (!Spec) {
    logEvent(LogLevel::Error, "job-row-malformed",
             {{"job", Changed.Key.Key}, {"error", Spec.error().message()}});
    return;
  }
  addJob(Spec.value());
}

auto ShardOwner::addJob(const scheduling::JobSpec &Spec) -> void {
  scheduling::JobProgress Progress;
  std::uint64_t Version = 0; // The owner creates the row.

  const auto Row = RecoveredProgress.find(Spec.Id);
  if (Row != RecoveredProgress.end()) {
    auto Decoded = decodeProgress(Row->second.Value);
    if (!Decoded) {
      logEvent(LogLevel::Error, "progress-row-malformed",
               {{"job", Spec.Id}, {"error", Decoded.error().message()}});
      return;
    }
    Progress = std::move(Decoded).value();
    Version = Row->second.Version;
  }
  // The accepting host's time of day may differ from ours or have jumped.
  constexpr std::int64_t MaxAgeMs = 120000;
  const auto AgeMs =
      std::clamp<std::int64_t>(unixNowMs() - Spec.AcceptedUnixMs, 0, MaxAgeMs);
  const auto Age = Recovering ? Milliseconds(AgeMs) : Milliseconds(0);
  Scheduler.addJob(Spec, std::move(Progress), Clock::now() - Age);
  Committer->noteRow(Spec.Id, Version);
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
    if (Clock::now() - TakenAt < Settings.TakeoverAfter ||
        Scheduler.worker(Worker)->Runs.size() > 0)
      PredecessorLeases = TakenAt + Settings.GrantLimit +
                          WorkerSession::longestLease(Settings.Lease);
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
  Scheduler.decide(Clock::now());
  logDecisions();
  pumpSessions();
  if (!Lost)
    Committer->flush();
}

auto ShardOwner::logDecisions() -> void {
  for (const auto &Placed : Scheduler.takePlacements())
    logEvent(LogLevel::Info, "tasks-placed",
             {{"job", Placed.Job},
              {"step", std::to_string(Placed.Step)},
              {"run", std::to_string(Placed.Run)},
              {"tasks", std::to_string(Placed.Tasks)},
              {"racks", std::to_string(Placed.Racks)},
              {"waited-s", std::to_string(Placed.WaitedSeconds)}});
  for (const auto &Stop : Scheduler.takeStops())
    logEvent(LogLevel::Info, "task-stopped",
             {{"run", toString(Stop.Run)},
              {"worker", Stop.Worker},
              {"reason", std::string(toString(Stop.Reason))},
              {"for", Stop.Beneficiary},
              {"percent", std::to_string(Stop.Percent)}});
}

auto ShardOwner::onCommitted() -> void {
  std::erase_if(WaitingRows, [this](const std::string &Id) {
    const auto *Job = Scheduler.job(Id);
    if (Job && Job->Progress.State == scheduling::JobState::Pending)
      return false;
    if (Job)
      Cleaner->remove({Rows.waiting(Job->Spec.Queue, Id)});
    return true;
  });
  pumpSessions();
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

auto ShardOwner::tick() -> void {
  if (Lost)
    return;
  forgetFinalJobs();
  if (!Recovering) {
    decide();
  } else {
    Committer->flush();
  }
  Tick = Needs.Loop.after(TickInterval, [this] { tick(); });
}

auto ShardOwner::forgetFinalJobs() -> void {
  const auto Before = Clock::now() - Needs.Settings.KeepFinalJobs;
  std::vector<std::string> Old;
  for (const auto &[Id, Job] : Scheduler.jobs())
    if (isFinal(Job.Progress.State) && Job.FinishedAt < Before)
      Old.push_back(Id);
  for (const auto &Id : Old)
    // Without its job row a progress row is nothing; a job row alone would be
    // taken as a new job.
    if (Scheduler.forgetJob(Id))
      Cleaner->remove({Rows.job(Id), Rows.cancel(Id)},
                      [this, Id] { Committer->removeProgress(Id); });
}

auto ShardOwner::lose(const char *Reason) -> void {
  if (Lost)
    return;
  Lost = true;
  logEvent(LogLevel::Warning, "shard-lost",
           {{"shard", Shard},
            {"token", std::to_string(Held.FencingToken)},
            {"reason", Reason}});
  Committer->close();
  for (auto &[Id, Session] : Sessions)
    Session->close();
  // The callback destroys this object and so must not be its member.
  Needs.Loop.post([Told = OnLost, Alive = Alive] {
    if (*Alive)
      Told();
  });
}

} // namespace jayramp::shard
