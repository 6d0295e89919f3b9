#include "Shard/OwnerElection.h"

#include "Base/EventLog.h"

#include <utility>

namespace jayramp::shard {

namespace {

constexpr Milliseconds TickInterval{50};
/// Delay after a failed takeover attempt, so that attempts of many hosts do not
/// overload a slow store.
constexpr Milliseconds TakeoverRetryDelay{500};
/// Time that other hosts have to take a shard that this host has released.
constexpr Milliseconds ReleaseTakeoverPause{2000};
/// The takeover timeout is at least this multiple of the store's latency,
/// because a slow store delays heartbeats too.
constexpr int TakeoverLatencyFactor = 12;
/// Changes of owner are counted for this time; each one after the first doubles
/// the takeover timeout.
constexpr Milliseconds OwnerChangeWindow{15000};
constexpr std::size_t MaxTimeoutDoublings = 4;
/// Maximum age of the owner's counts of waiting jobs; older counts are not
/// used.
constexpr Milliseconds MaxWaitingCountAge{1000};
/// Maximum age of the owner's forecast: the backlog changes.
constexpr Milliseconds MaxForecastAge{2000};
/// Number of hosts that follow the owner's heartbeats closely. The others read
/// them less often, so that the calls to the store hardly grow with the number
/// of hosts, and take over only if these do not.
constexpr std::size_t NearCandidates = 6;
constexpr Milliseconds RankCheckInterval{1000};
constexpr Milliseconds NearPause{200};
/// With the interval of the heartbeats, below MaxWaitingCountAge.
constexpr Milliseconds FarPause{600};
/// Exceeds the difference of the pauses, so that a late read of a heartbeat
/// does not look like a silent owner.
constexpr Milliseconds FarTakeoverDelay{500};
/// Silence of the owner after which a host that has not taken the shard logs
/// why.
constexpr Milliseconds MaxUnreportedSilence{3000};
constexpr Milliseconds DelayReportInterval{3000};
constexpr store::FollowerTiming OwnerFollowerTiming{
    Milliseconds{1000}, NearPause, Milliseconds{150}};

} // namespace

OwnerElection::OwnerElection(net::EventLoop &Loop, store::RowStore &Store,
                             std::string Shard, const ShardSettings &Settings,
                             Candidate Self,
                             std::function<void(Ownership)> OnElected)
    : Loop(Loop), Store(Store), Shard(std::move(Shard)), Rows(this->Shard),
      Settings(Settings), Self(std::move(Self)),
      OnElected(std::move(OnElected)),
      DelayReports(MaxUnreportedSilence, DelayReportInterval) {}

OwnerElection::~OwnerElection() { *Alive = false; }

auto OwnerElection::start() -> void {
  OwnerHeardAt = Clock::now();
  Follower = std::make_unique<store::TableFollower>(
      Loop, Store, ShardRows::OwnershipTable, std::vector<std::string>{Shard},
      OwnerFollowerTiming,
      store::TableFollower::Observer{
          [this](std::vector<store::Row> All) {
            if (!OwnerRowsRead)
              recordOwnerActivity();
            OwnerRowsRead = true;
            onRows(All, false);
          },
          [this](std::vector<store::Row> Changed) { onRows(Changed, true); },
          [this](Milliseconds) { onFeedRestored(); },
          [this] { FeedInterrupted = true; }});
  Follower->start();
  TickTimer = Loop.after(TickInterval, [this] { tick(); });
}

auto OwnerElection::onOwnershipLost() -> void {
  IsOwner = false;
  RelinquishedVersion = OwnerVersion;
  recordOwnerActivity();
}

auto OwnerElection::resign(std::function<void()> Done) -> void {
  Resigned = true;
  if (!IsOwner) {
    Done();
    return;
  }
  IsOwner = false;
  writeRelease(std::move(Done));
}

auto OwnerElection::release() -> void {
  if (!IsOwner)
    return;
  IsOwner = false;
  RelinquishedVersion = OwnerVersion;
  NextAttempt = Clock::now() + ReleaseTakeoverPause;
  writeRelease([] {});
}

auto OwnerElection::writeRelease(std::function<void()> Done) -> void {
  auto Released = *Owner;
  Released.Released = true;
  store::RowTransaction Change;
  Change.Conditions.push_back({Rows.ownerKey(), OwnerVersion});
  Change.Writes.push_back({Rows.ownerKey(), encodeOwner(Released)});
  Store.transact(
      Change, Settings.StoreTimeout,
      [Done = std::move(Done),
       Name = Shard](const store::TransactionOutcome &Outcome) {
        // If the write failed, other hosts take over the shard after the
        // takeover timeout.
        const bool Written =
            std::holds_alternative<store::TransactionCommitted>(Outcome);
        logEvent(
            LogLevel::Info, "shard-released",
            {{"shard", Name}, {"outcome", Written ? "written" : "unknown"}});
        Done();
      });
}

auto OwnerElection::ownerHost() const -> std::string {
  return Owner && !Owner->Released ? Owner->Host : std::string();
}

auto OwnerElection::recentWaitingCount(const std::string &Queue) const
    -> std::optional<std::size_t> {
  if (FeedInterrupted || !WaitingCounts ||
      Clock::now() - WaitingCountsReceivedAt > MaxWaitingCountAge)
    return std::nullopt;
  const auto Found = WaitingCounts->find(Queue);
  return Found == WaitingCounts->end() ? 0 : Found->second;
}

auto OwnerElection::mayHaveWaitingJobs(const std::string &Queue) const -> bool {
  return !ListedQueues || ListedQueues->contains(Queue);
}

auto OwnerElection::timeWithoutJobs() const -> Clock::duration {
  const auto Now = Clock::now();
  if (FeedInterrupted || !WithoutJobsSince ||
      Now - WaitingCountsReceivedAt > MaxWaitingCountAge)
    return Clock::duration::zero();
  return Now - *WithoutJobsSince;
}

auto OwnerElection::recentForecast() const -> std::optional<AdmissionForecast> {
  if (FeedInterrupted ||
      Clock::now() - WaitingCountsReceivedAt > MaxForecastAge)
    return std::nullopt;
  return Forecast;
}

auto OwnerElection::onHeartbeat(const store::Row &Row, bool IsUpdate) -> void {
  if (Row.Version <= HeartbeatVersion)
    return;
  HeartbeatVersion = Row.Version;
  recordOwnerActivity();
  HeartbeatSeen = Row.Version > OwnerVersion;
  const auto DecodedHeartbeat = decodeHeartbeat(Row.Value);
  if (!DecodedHeartbeat) {
    logEvent(LogLevel::Error, "heartbeat-malformed",
             {{"shard", Shard}, {"error", DecodedHeartbeat.error().message()}});
    return;
  }
  // A heartbeat row from a snapshot may be old, so its counts are not used.
  const auto &Beat = DecodedHeartbeat.value();
  if (Beat.Waiting) {
    ListedQueues.emplace();
    for (const auto &[Queue, Count] : *Beat.Waiting)
      ListedQueues->insert(Queue);
  }
  WaitingCounts = IsUpdate ? Beat.Waiting : std::nullopt;
  Forecast = IsUpdate ? Beat.Forecast : std::nullopt;
  WaitingCountsReceivedAt = Clock::now();
  if (!WaitingCounts || Beat.JobCount > 0)
    WithoutJobsSince.reset();
  else if (!WithoutJobsSince)
    WithoutJobsSince = WaitingCountsReceivedAt;
}

auto OwnerElection::onRows(const std::vector<store::Row> &Changed,
                           bool IsUpdate) -> void {
  for (const auto &Each : Changed) {
    const bool IsHeartbeat = Each.Key.Key == ShardRows::HeartbeatKey;
    if (Each.Key.Partition != Shard && IsHeartbeat && OnOtherHeartbeat)
      OnOtherHeartbeat(Each);
    if (Each.Key.Partition != Shard || Each.Deleted)
      continue;
    if (IsHeartbeat)
      onHeartbeat(Each, IsUpdate);
    if (Each.Key.Key != ShardRows::OwnerKey)
      continue;
    if (Each.Version <= OwnerVersion)
      continue;
    auto Decoded = decodeOwner(Each.Value);
    if (!Decoded) {
      logEvent(LogLevel::Error, "owner-row-malformed",
               {{"shard", Shard}, {"error", Decoded.error().message()}});
      continue;
    }
    recordOwnerActivity();
    Owner = Decoded.value();
    OwnerVersion = Each.Version;
    HeartbeatSeen = HeartbeatVersion > OwnerVersion;
    if (!Owner->Released)
      recordOwnerChange();
  }
}

auto OwnerElection::tick() -> void {
  TickTimer = Loop.after(TickInterval, [this] { tick(); });
  adaptToRank();
  reportTakeoverDelay();
  if (!OwnerRowsRead || AttemptInProgress || IsOwner || Resigned)
    return;
  if (Owner && isThisProcess(*Owner) && !Owner->Released &&
      OwnerVersion != RelinquishedVersion) {
    // The store applied a takeover attempt that had timed out on this host.
    becomeOwner();
    return;
  }
  if (!mayTakeOver())
    return;
  if (Self.LowCapacity && Owner && Owner->Host == Self.Host && !Owner->Released)
    releaseOwnershipOfEarlierProcess();
  else
    attemptTakeover();
}

auto OwnerElection::adaptToRank() -> void {
  if (Clock::now() < NextRankCheck)
    return;
  NextRankCheck = Clock::now() + RankCheckInterval;
  const bool IsNear = !Self.ReadRank || Self.ReadRank() < NearCandidates;
  if (IsNear == IsNearCandidate)
    return;
  IsNearCandidate = IsNear;
  Follower->setPauseAfterChanges(IsNear ? NearPause : FarPause);
}

auto OwnerElection::takeoverDelay() const -> Milliseconds {
  return IsNearCandidate ? Self.Delay : Self.Delay + FarTakeoverDelay;
}

auto OwnerElection::releaseOwnershipOfEarlierProcess() -> void {
  // An earlier process of this host owned the shard. Other hosts cannot know
  // that it has ended.
  AttemptInProgress = true;
  writeRelease([this, Alive = Alive] {
    if (!*Alive)
      return;
    AttemptInProgress = false;
    delayNextAttempt();
  });
}

auto OwnerElection::isVacant() const -> bool {
  // An owner row that names this host was written by an earlier process, which
  // has ended.
  return !Owner || Owner->Released || Owner->Host == Self.Host;
}

auto OwnerElection::mayTakeOver() const -> bool {
  const auto Now = Clock::now();
  if (Now < NextAttempt)
    return false;
  if (isVacant())
    return Now - LastOwnerActivity >= takeoverDelay();
  return !FeedInterrupted &&
         Now - LastOwnerActivity >= takeoverTimeout() + takeoverDelay();
}

auto OwnerElection::takeoverTimeout() const -> Milliseconds {
  // A slow store delays the heartbeats too.
  auto Timeout = std::max(Settings.TakeoverTimeout,
                          Store.recentLatency() * TakeoverLatencyFactor);
  // A new owner reads many rows before its first heartbeat. If the owner has
  // changed several times recently, the owners are probably slow, not dead.
  auto Doublings = OwnerChanges.size() > 1 ? OwnerChanges.size() - 1 : 0;
  if (!HeartbeatSeen)
    ++Doublings;
  return Timeout *
         (1U << std::min<std::size_t>(Doublings, MaxTimeoutDoublings));
}

auto OwnerElection::reportTakeoverDelay() -> void {
  const auto Now = Clock::now();
  if (IsOwner || Resigned || !DelayReports.takeDue(OwnerHeardAt, Now))
    return;
  const auto Silence =
      std::chrono::duration_cast<Milliseconds>(Now - OwnerHeardAt);
  const auto Host = ownerHost();
  const auto Wait =
      takeoverDelay() + (isVacant() ? Milliseconds(0) : takeoverTimeout());
  logEvent(LogLevel::Warning, "takeover-delayed",
           {{"shard", Shard},
            {"owner", Host.empty() ? "none" : Host},
            {"silent-ms", std::to_string(Silence.count())},
            {"reason", takeoverDelayReason()},
            {"timeout-ms", std::to_string(Wait.count())}});
}

auto OwnerElection::takeoverDelayReason() const -> std::string {
  if (!OwnerRowsRead)
    return "owner-unread";
  if (FeedInterrupted && !isVacant())
    return "feed-interrupted";
  if (AttemptInProgress)
    return "attempt-in-progress";
  return Clock::now() < NextAttempt ? "retry" : "timeout";
}

auto OwnerElection::recordOwnerActivity() -> void {
  LastOwnerActivity = Clock::now();
  OwnerHeardAt = LastOwnerActivity;
}

auto OwnerElection::recordOwnerChange() -> void {
  const auto Now = Clock::now();
  OwnerChanges.push_back(Now);
  while (OwnerChanges.front() < Now - OwnerChangeWindow)
    OwnerChanges.pop_front();
}

auto OwnerElection::attemptTakeover() -> void {
  AttemptInProgress = true;
  AttemptedOwner = {Self.Host, Self.Incarnation,
                    Owner ? Owner->FencingToken + 1 : 1, false};
  store::RowTransaction Change;
  Change.Conditions.push_back({Rows.ownerKey(), OwnerVersion});
  // A heartbeat that this host has not seen yet prevents the takeover.
  Change.Conditions.push_back({Rows.heartbeatKey(), HeartbeatVersion});
  Change.Writes.push_back({Rows.ownerKey(), encodeOwner(AttemptedOwner)});
  Store.transact(Change, Settings.StoreTimeout,
                 [this, Alive = Alive](store::TransactionOutcome Outcome) {
                   if (!*Alive)
                     return;
                   AttemptInProgress = false;
                   std::visit([&](auto &Case) { onOutcome(Case); }, Outcome);
                 });
}

auto OwnerElection::onOutcome(store::TransactionCommitted &Outcome) -> void {
  Owner = AttemptedOwner;
  OwnerVersion = Outcome.Version;
  becomeOwner();
}

auto OwnerElection::onOutcome(store::TransactionConflict &Outcome) -> void {
  // If an attempt that timed out was applied, tick() finds this process in the
  // owner row.
  onRows(Outcome.Current, false);
  delayNextAttempt();
}

auto OwnerElection::onOutcome(store::StoreRefusal &Outcome) -> void {
  logEvent(LogLevel::Warning, "take-shard-refused",
           {{"shard", Shard}, {"reason", Outcome.Reason}});
  onStoreFailure();
}

auto OwnerElection::onOutcome(store::StoreNoAnswer &Outcome) -> void {
  logEvent(LogLevel::Warning, "take-shard-unanswered",
           {{"shard", Shard}, {"reason", Outcome.Reason}});
  onStoreFailure();
}

auto OwnerElection::onStoreFailure() -> void {
  restartTakeoverTimeout();
  delayNextAttempt();
}

auto OwnerElection::onFeedRestored() -> void {
  if (std::exchange(FeedInterrupted, false))
    restartTakeoverTimeout();
}

auto OwnerElection::restartTakeoverTimeout() -> void {
  // The owner's heartbeats may have failed for the same reason as this host's
  // calls.
  if (!isVacant())
    LastOwnerActivity = Clock::now();
}

auto OwnerElection::delayNextAttempt() -> void {
  NextAttempt = Clock::now() + TakeoverRetryDelay + takeoverDelay();
}

auto OwnerElection::becomeOwner() -> void {
  if (Resigned)
    return;
  IsOwner = true;
  logEvent(LogLevel::Info, "shard-taken",
           {{"shard", Shard}, {"token", std::to_string(Owner->FencingToken)}});
  OnElected({*Owner, OwnerVersion});
}

auto OwnerElection::isThisProcess(const OwnerRecord &Record) const -> bool {
  return Record.Host == Self.Host && Record.Incarnation == Self.Incarnation;
}

} // namespace jayramp::shard
