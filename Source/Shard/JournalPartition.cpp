#include "Shard/JournalPartition.h"

#include "Base/EventLog.h"
#include "Shard/SuspendAwareClock.h"

#include <algorithm>
#include <utility>

namespace jayramp::shard {

namespace {

/// Jobs in one transaction; each takes a write and a condition.
constexpr std::size_t JobsPerWrite = 30;
constexpr std::size_t RemovalsPerWrite = 20;
/// A claim that was not confirmed for this long is confirmed by a write.
constexpr Milliseconds ConfirmationInterval{1000};

} // namespace

JournalPartition::JournalPartition(const Context &Shared, std::string Name)
    : Shared(Shared), Name(std::move(Name)), LastConfirmed(suspendAwareNow()) {}

auto JournalPartition::open(OnOpened Done) -> void {
  Opened = std::move(Done);
  claim(0);
}

auto JournalPartition::claim(std::uint64_t Version) -> void {
  TriedVersion = Version;
  const auto Key = Shared.Rows.claimKey(Name);
  store::RowTransaction Change;
  Change.Conditions.push_back({Key, Version});
  Change.Writes.push_back({Key, encodeOwner(Shared.Held.Owner)});
  SentAt = suspendAwareNow();
  Shared.Store.transact(
      Change, Shared.Settings.StoreTimeout,
      [Self = shared_from_this()](const store::TransactionOutcome &Result) {
        if (!Self->Closed)
          std::visit([&](const auto &Case) { Self->onClaim(Case); }, Result);
      });
}

auto JournalPartition::onClaim(const store::TransactionCommitted &Outcome)
    -> void {
  ClaimVersion = Outcome.Version;
  Claimed = true;
  LastConfirmed = SentAt;
  readRows({});
}

auto JournalPartition::onClaim(const store::TransactionConflict &Outcome)
    -> void {
  if (Outcome.Current.empty()) {
    claim(0);
    return;
  }
  const auto &Row = Outcome.Current.front();
  const auto Holder = decodeOwner(Row.Value);
  if (Holder && Holder.value() == Shared.Held.Owner) {
    // An attempt without an answer was carried out.
    onClaim(store::TransactionCommitted{Row.Version});
    return;
  }
  if (Holder && Holder.value().FencingToken >= Shared.Held.Owner.FencingToken) {
    Shared.OnLost("other-owner");
    return;
  }
  claim(Row.Version);
}

auto JournalPartition::onClaim(const store::StoreRefusal &Outcome) -> void {
  retryClaim(FailuresTolerated, Outcome.Reason);
}

auto JournalPartition::onClaim(const store::StoreNoAnswer &Outcome) -> void {
  retryClaim(1, Outcome.Reason);
}

auto JournalPartition::retryClaim(unsigned Weight, const std::string &Reason)
    -> void {
  noteFailure(Weight, Reason);
  Retry = Shared.Loop.after(Shared.Settings.RetryDelay,
                            [this] { claim(TriedVersion); });
}

auto JournalPartition::readRows(std::string From) -> void {
  Shared.Store.read(
      {ShardRows::ProgressTable, Name, From, {}}, Shared.Settings.StoreTimeout,
      [Self = shared_from_this(), From](store::ReadOutcome Outcome) {
        if (Self->Closed)
          return;
        auto *Page = std::get_if<store::RowPage>(&Outcome);
        if (!Page) {
          Self->Retry =
              Self->Shared.Loop.after(Self->Shared.Settings.RetryDelay,
                                      [Self, From] { Self->readRows(From); });
          return;
        }
        const auto Last = Page->Rows.empty() ? "" : Page->Rows.back().Key.Key;
        for (auto &Each : Page->Rows)
          Self->Collected.push_back(std::move(Each));
        if (Page->More && !Last.empty()) {
          Self->readRows(Last + store::KeySuccessorSuffix);
          return;
        }
        Self->Failures = 0;
        Self->Retry.reset();
        std::exchange(Self->Opened,
                      nullptr)(std::exchange(Self->Collected, {}));
      });
}

auto JournalPartition::noteRow(const std::string &Job, std::uint64_t Version)
    -> void {
  JobRows[Job].Version = Version;
}

auto JournalPartition::markChanged(const std::string &Job, std::uint64_t Change)
    -> void {
  auto &Row = JobRows[Job];
  Row.Changed = Change;
  if (!std::exchange(Row.Queued, true))
    Queue.push_back(Job);
}

auto JournalPartition::releaseUnwritten() -> std::vector<std::string> {
  std::vector<std::string> Released;
  std::deque<std::string> Kept;
  for (auto &Job : Queue) {
    const auto Row = JobRows.find(Job);
    if (Row == JobRows.end())
      continue; // Its row was removed.
    if (Row->second.Version == 0 && Row->second.Written == 0) {
      JobRows.erase(Row);
      Released.push_back(std::move(Job));
    } else {
      Kept.push_back(std::move(Job));
    }
  }
  Queue = std::move(Kept);
  return Released;
}

auto JournalPartition::removeRow(const std::string &Job) -> void {
  Removals.push_back(Job);
}

auto JournalPartition::close() -> void {
  Closed = true;
  Retry.reset();
}

auto JournalPartition::changeOf(const std::string &Job) const -> std::uint64_t {
  const auto Found = JobRows.find(Job);
  return Found == JobRows.end() ? 0 : Found->second.Changed;
}

auto JournalPartition::isDurable(const std::string &Job,
                                 std::uint64_t Change) const -> bool {
  const auto Found = JobRows.find(Job);
  return Found == JobRows.end() || Found->second.Durable >= Change;
}

auto JournalPartition::confirmClaim() -> void {
  if (suspendAwareNow() - LastConfirmed < ConfirmationInterval)
    return;
  ConfirmationDue = true;
  flush();
}

auto JournalPartition::flush() -> void {
  if (Busy || Closed || !Claimed || Opened || !compose())
    return;
  Busy = true;
  send();
}

auto JournalPartition::compose() -> bool {
  if (Queue.empty() && Removals.empty() && !ConfirmationDue)
    return false;
  InFlight = {};
  InFlightJobs.clear();
  InFlightMayBeDone = false;
  InFlight.Conditions.push_back({Shared.Rows.claimKey(Name), ClaimVersion});
  while (!Queue.empty() && InFlightJobs.size() < JobsPerWrite) {
    const auto Id = std::move(Queue.front());
    Queue.pop_front();
    auto &Row = JobRows[Id];
    Row.Queued = false;
    const auto *Job = Shared.Scheduler.job(Id);
    if (!Job) {
      JobRows.erase(Id);
      continue;
    }
    Row.Written = Row.Changed;
    InFlight.Conditions.push_back(
        {ShardRows::progressKey(Name, Id), Row.Version});
    InFlight.Writes.push_back(
        {ShardRows::progressKey(Name, Id), encodeProgress(Job->Progress)});
    InFlightJobs.push_back(Id);
  }
  for (std::size_t Taken = 0; Taken < RemovalsPerWrite && !Removals.empty();
       ++Taken) {
    InFlight.Removals.push_back(ShardRows::progressKey(Name, Removals.back()));
    JobRows.erase(Removals.back());
    Removals.pop_back();
  }
  if (std::exchange(ConfirmationDue, false))
    InFlight.Writes.push_back(
        {Shared.Rows.confirmationKey(Name),
         encodeHeartbeat(
             {Shared.Held.Owner.FencingToken, ++Confirmations, std::nullopt})});
  return true;
}

auto JournalPartition::send() -> void {
  SentAt = suspendAwareNow();
  Shared.Store.transact(
      InFlight, Shared.Settings.StoreTimeout,
      [Self = shared_from_this()](const store::TransactionOutcome &Result) {
        if (!Self->Closed)
          std::visit([&](const auto &Case) { Self->onOutcome(Case); }, Result);
      });
}

auto JournalPartition::onOutcome(const store::TransactionCommitted &Outcome)
    -> void {
  finish(Outcome.Version);
}

auto JournalPartition::onOutcome(const store::TransactionConflict &Outcome)
    -> void {
  // A conflict after an attempt without an answer can be our own success.
  std::map<store::RowKey, const store::Row *> Current;
  for (const auto &Each : Outcome.Current)
    Current[Each.Key] = &Each;
  const auto Claim = Current.find(Shared.Rows.claimKey(Name));
  if (Claim == Current.end() || Claim->second->Version != ClaimVersion) {
    Shared.OnLost("other-owner");
    return;
  }
  std::uint64_t Version = 0;
  for (const auto &Write : InFlight.Writes) {
    if (Write.Key == Shared.Rows.confirmationKey(Name))
      continue;
    const auto Found = Current.find(Write.Key);
    if (Found == Current.end() || Found->second->Value != Write.Value) {
      logEvent(LogLevel::Error, "progress-row-changed",
               {{"job", Write.Key.Key}});
      Shared.OnLost("unexpected-row");
      return;
    }
    Version = Found->second->Version;
  }
  finish(Version);
}

auto JournalPartition::onOutcome(const store::StoreRefusal &Outcome) -> void {
  if (InFlightMayBeDone) {
    Retry = Shared.Loop.after(Shared.Settings.RetryDelay, [this] { send(); });
  } else {
    requeue();
    Retry = Shared.Loop.after(Shared.Settings.RetryDelay, [this] {
      Busy = false;
      flush();
    });
  }
  noteFailure(FailuresTolerated, Outcome.Reason);
}

auto JournalPartition::onOutcome(const store::StoreNoAnswer &Outcome) -> void {
  InFlightMayBeDone = true;
  Retry = Shared.Loop.after(Shared.Settings.RetryDelay, [this] { send(); });
  noteFailure(1, Outcome.Reason);
}

auto JournalPartition::noteFailure(unsigned Weight, const std::string &Reason)
    -> void {
  const bool Before = isAvailable();
  Failures += Weight;
  logEvent(LogLevel::Warning, "progress-write-failed",
           {{"partition", Name},
            {"reason", Reason},
            {"available", isAvailable() ? "yes" : "no"}});
  if (Before && !isAvailable())
    Shared.OnAvailability();
}

auto JournalPartition::requeue() -> void {
  for (auto Job = InFlightJobs.rbegin(); Job != InFlightJobs.rend(); ++Job) {
    auto &Row = JobRows[*Job];
    Row.Written = 0;
    if (!std::exchange(Row.Queued, true))
      Queue.push_front(*Job);
  }
  for (const auto &Key : InFlight.Removals)
    Removals.push_back(Key.Key);
  InFlightJobs.clear();
  ConfirmationDue = true;
}

auto JournalPartition::finish(std::uint64_t Version) -> void {
  Busy = false;
  LastConfirmed = SentAt;
  for (const auto &Id : InFlightJobs)
    if (const auto Found = JobRows.find(Id); Found != JobRows.end()) {
      Found->second.Version = Version;
      Found->second.Durable = Found->second.Written;
    }
  if (std::exchange(Failures, 0) >= FailuresTolerated)
    Shared.OnAvailability();
  Shared.OnCommitted();
  if (!Closed)
    flush();
}

} // namespace jayramp::shard
