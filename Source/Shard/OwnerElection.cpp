#include "Shard/OwnerElection.h"

#include "Base/EventLog.h"

#include <utility>

namespace jayramp::shard {

namespace {

constexpr Milliseconds TickInterval{50};
/// Pause after an attempt that failed, so that many hosts do not keep a slow
/// store busy.
constexpr Milliseconds AttemptPause{500};
/// A heartbeat may take this multiple of the store's latency to be heard of.
constexpr int LatenciesOfSilence = 12;
/// Changes of the owner within this time lengthen the allowed silence.
constexpr Milliseconds RecentChanges{15000};
constexpr std::size_t MaxDoublings = 4;
/// The owner's counts of waiting jobs are used for this long.
constexpr Milliseconds MaxCountAge{1000};
constexpr store::FollowerTiming OwnerFollowerPace{
    Milliseconds{1000}, Milliseconds{200}, Milliseconds{150}};

} // namespace

OwnerElection::OwnerElection(net::EventLoop &Loop, store::RowStore &Store,
                             std::string Shard, const ShardSettings &Settings,
                             Candidate Self,
                             std::function<void(Ownership)> OnWon)
    : Loop(Loop), Store(Store), Shard(std::move(Shard)), Rows(this->Shard),
      Settings(Settings), Self(std::move(Self)), OnWon(std::move(OnWon)) {}

OwnerElection::~OwnerElection() { *Alive = false; }

auto OwnerElection::start() -> void {
  Follower = std::make_unique<store::TableFollower>(
      Loop, Store, ShardRows::OwnershipTable, std::vector<std::string>{Shard},
      OwnerFollowerPace,
      store::TableFollower::Observer{
          [this](std::vector<store::Row> All) {
            if (!Started)
              LastSign = Clock::now();
            Started = true;
            onRows(All, false);
          },
          [this](std::vector<store::Row> Changed) { onRows(Changed, true); },
          [this] { onFeedRestored(); }, [this] { FeedInterrupted = true; }});
  Follower->start();
  Tick = Loop.after(TickInterval, [this] { tick(); });
}

auto OwnerElection::onOwnershipLost() -> void {
  Holding = false;
  GivenUpVersion = OwnerVersion;
  LastSign = Clock::now();
}

auto OwnerElection::resign(std::function<void()> Done) -> void {
  Retired = true;
  if (!Holding) {
    Done();
    return;
  }
  Holding = false;
  writeReleased(std::move(Done));
}

auto OwnerElection::writeReleased(std::function<void()> Done) -> void {
  auto Released = *Owner;
  Released.Released = true;
  store::RowTransaction Change;
  Change.Conditions.push_back({Rows.ownerKey(), OwnerVersion});
  Change.Writes.push_back({Rows.ownerKey(), encodeOwner(Released)});
  Store.transact(
      Change, Settings.StoreTimeout,
      [Done = std::move(Done),
       Name = Shard](const store::TransactionOutcome &Outcome) {
        // If this failed, others take the shard after its silence.
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
  if (FeedInterrupted || !Waiting || Clock::now() - WaitingAt > MaxCountAge)
    return std::nullopt;
  const auto Found = Waiting->find(Queue);
  return Found == Waiting->end() ? 0 : Found->second;
}

auto OwnerElection::onHeartbeat(const store::Row &Row, bool IsNews) -> void {
  if (Row.Version <= HeartbeatVersion)
    return;
  HeartbeatVersion = Row.Version;
  LastSign = Clock::now();
  HeardOfOwner = Row.Version > OwnerVersion;
  const auto Beat = decodeHeartbeat(Row.Value);
  if (!Beat) {
    logEvent(LogLevel::Error, "heartbeat-malformed",
             {{"shard", Shard}, {"error", Beat.error().message()}});
    return;
  }
  // A row that was there may be old.
  Waiting = IsNews ? Beat.value().Waiting : std::nullopt;
  WaitingAt = Clock::now();
}

auto OwnerElection::onRows(const std::vector<store::Row> &Changed, bool IsNews)
    -> void {
  for (const auto &Each : Changed) {
    if (Each.Key.Partition != Shard || Each.Deleted)
      continue;
    if (Each.Key.Key == ShardRows::HeartbeatKey)
      onHeartbeat(Each, IsNews);
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
    LastSign = Clock::now();
    Owner = Decoded.value();
    OwnerVersion = Each.Version;
    HeardOfOwner = HeartbeatVersion > OwnerVersion;
    if (!Owner->Released)
      noteOwnerChange();
  }
}

auto OwnerElection::tick() -> void {
  Tick = Loop.after(TickInterval, [this] { tick(); });
  if (!Started || Attempting || Holding || Retired)
    return;
  if (Owner && isSelf(*Owner) && !Owner->Released &&
      OwnerVersion != GivenUpVersion) {
    // A write without an answer was carried out after all.
    win();
    return;
  }
  if (!mayTake())
    return;
  if (Self.LowCapacity && Owner && Owner->Host == Self.Host && !Owner->Released)
    releaseEarlierOwnership();
  else
    take();
}

auto OwnerElection::releaseEarlierOwnership() -> void {
  // An earlier process of this host had the shard. Others can't know that it
  // has ended.
  Attempting = true;
  writeReleased([this, Alive = Alive] {
    if (!*Alive)
      return;
    Attempting = false;
    backOff();
  });
}

auto OwnerElection::isVacant() const -> bool {
  // An earlier process of this host cannot be alive.
  return !Owner || Owner->Released || Owner->Host == Self.Host;
}

auto OwnerElection::mayTake() const -> bool {
  const auto Now = Clock::now();
  if (Now < NextAttempt)
    return false;
  if (isVacant())
    return Now - LastSign >= Self.Delay;
  return !FeedInterrupted && Now - LastSign >= allowedSilence() + Self.Delay;
}

auto OwnerElection::allowedSilence() const -> Milliseconds {
  // Where the store is slow, heartbeats are late too.
  auto Silence = std::max(Settings.TakeoverTimeout,
                          Store.recentLatency() * LatenciesOfSilence);
  // A new owner has much to read before it beats. Owners that follow each other
  // fast are slow rather than dead.
  auto Doublings = OwnerChanges.size() > 1 ? OwnerChanges.size() - 1 : 0;
  if (!HeardOfOwner)
    ++Doublings;
  return Silence * (1U << std::min<std::size_t>(Doublings, MaxDoublings));
}

auto OwnerElection::noteOwnerChange() -> void {
  const auto Now = Clock::now();
  OwnerChanges.push_back(Now);
  while (OwnerChanges.front() < Now - RecentChanges)
    OwnerChanges.pop_front();
}

auto OwnerElection::take() -> void {
  Attempting = true;
  Attempted = {Self.Host, Self.Incarnation, Owner ? Owner->FencingToken + 1 : 1,
               false};
  store::RowTransaction Change;
  Change.Conditions.push_back({Rows.ownerKey(), OwnerVersion});
  // A heartbeat that this host has not heard of yet prevents the takeover.
  Change.Conditions.push_back({Rows.heartbeatKey(), HeartbeatVersion});
  Change.Writes.push_back({Rows.ownerKey(), encodeOwner(Attempted)});
  Store.transact(Change, Settings.StoreTimeout,
                 [this, Alive = Alive](store::TransactionOutcome Outcome) {
                   if (!*Alive)
                     return;
                   Attempting = false;
                   std::visit([&](auto &Case) { onOutcome(Case); }, Outcome);
                 });
}

auto OwnerElection::onOutcome(store::TransactionCommitted &Outcome) -> void {
  Owner = Attempted;
  OwnerVersion = Outcome.Version;
  win();
}

auto OwnerElection::onOutcome(store::TransactionConflict &Outcome) -> void {
  // The tick sees it if the row is ours after an attempt without an answer.
  onRows(Outcome.Current, false);
  backOff();
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
  restartSilenceTimer();
  backOff();
}

auto OwnerElection::onFeedRestored() -> void {
  if (std::exchange(FeedInterrupted, false))
    restartSilenceTimer();
}

auto OwnerElection::restartSilenceTimer() -> void {
  // The owner's heartbeats may have failed like this host's calls.
  if (!isVacant())
    LastSign = Clock::now();
}

auto OwnerElection::backOff() -> void {
  NextAttempt = Clock::now() + AttemptPause + Self.Delay;
}

auto OwnerElection::win() -> void {
  if (Retired)
    return;
  Holding = true;
  logEvent(LogLevel::Info, "shard-taken",
           {{"shard", Shard}, {"token", std::to_string(Owner->FencingToken)}});
  OnWon({*Owner, OwnerVersion});
}

auto OwnerElection::isSelf(const OwnerRecord &Record) const -> bool {
  return Record.Host == Self.Host && Record.Incarnation == Self.Incarnation;
}

} // namespace jayramp::shard
