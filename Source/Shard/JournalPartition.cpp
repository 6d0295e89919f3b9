#include "Shard/JournalPartition.h"

#include "Base/EventLog.h"
#include "Base/SuspendAwareClock.h"

#include <algorithm>
#include <utility>

namespace jayramp::shard {

namespace {

/// Limits the size of a transaction: each job adds one write and one condition.
constexpr std::size_t MaxJobsPerWrite = 30;
constexpr std::size_t MaxRemovalsPerWrite = 20;
/// If the last successful write is older than this, confirmClaim() sends a
/// write whose only purpose is to confirm the claim.
constexpr Milliseconds ConfirmationInterval{1000};
/// Shortest interval between the starts of two writes that contain no job of
/// the most urgent priority. A task changes its job's row at its start and end,
/// and each write contains the whole rows.
constexpr Milliseconds BatchInterval{60};

} // namespace

JournalPartition::JournalPartition(const Context &SharedContext,
                                   std::string Name)
    : SharedContext(SharedContext), Name(std::move(Name)),
      LastConfirmedAt(suspendAwareNow()) {}

auto JournalPartition::open(OnOpened Done) -> void {
  OpenDone = std::move(Done);
  claim(0);
}

auto JournalPartition::claim(std::uint64_t Version) -> void {
  AttemptedClaimVersion = Version;
  const auto Key = SharedContext.Rows.claimKey(Name);
  store::RowTransaction Change;
  Change.Conditions.push_back({Key, Version});
  Change.Writes.push_back(
      {Key, encodeOwner(SharedContext.CurrentOwnership.Owner)});
  SentAt = suspendAwareNow();
  SharedContext.Store.transact(
      Change, SharedContext.Settings.StoreTimeout,
      [Self = shared_from_this()](const store::TransactionOutcome &Result) {
        if (!Self->Closed)
          std::visit([&](const auto &Case) { Self->onClaim(Case); }, Result);
      });
}

auto JournalPartition::onClaim(const store::TransactionCommitted &Outcome)
    -> void {
  ClaimVersion = Outcome.Version;
  Claimed = true;
  LastConfirmedAt = SentAt;
  readRows();
}

auto JournalPartition::onClaim(const store::TransactionConflict &Outcome)
    -> void {
  if (Outcome.Current.empty()) {
    claim(0);
    return;
  }
  const auto &Row = Outcome.Current.front();
  const auto Holder = decodeOwner(Row.Value);
  if (Holder && Holder.value() == SharedContext.CurrentOwnership.Owner) {
    // An earlier attempt that timed out was applied.
    onClaim(store::TransactionCommitted{Row.Version});
    return;
  }
  if (Holder && Holder.value().FencingToken >=
                    SharedContext.CurrentOwnership.Owner.FencingToken) {
    SharedContext.OnLost("other-owner");
    return;
  }
  claim(Row.Version);
}

auto JournalPartition::onClaim(const store::StoreRefusal &Outcome) -> void {
  retryClaim(UnavailableAfterFailures, Outcome.Reason);
}

auto JournalPartition::onClaim(const store::StoreNoAnswer &Outcome) -> void {
  retryClaim(1, Outcome.Reason);
}

auto JournalPartition::retryClaim(unsigned Weight, const std::string &Reason)
    -> void {
  recordFailure(Weight, Reason);
  Retry = SharedContext.Loop.after(SharedContext.Settings.RetryDelay,
                                   [this] { claim(AttemptedClaimVersion); });
}

auto JournalPartition::readRows() -> void {
  const auto &Settings = SharedContext.Settings;
  Reading = std::make_unique<store::PagedRead>(
      SharedContext.Loop, SharedContext.Store, ShardRows::ProgressTable, Name,
      store::PagedReadTiming{Settings.StoreTimeout, Settings.RetryDelay},
      store::PagedRead::Observer{[this](store::PagedRead::Contents Found) {
        const auto Self = shared_from_this(); // Done may end this object's use.
        Failures = 0;
        const auto Done = std::exchange(OpenDone, nullptr);
        Done(std::move(Found.Rows));
      }});
}

auto JournalPartition::setRowVersion(const std::string &Job,
                                     std::uint64_t Version) -> void {
  JobRows[Job].Version = Version;
}

auto JournalPartition::markChanged(const std::string &Job, std::uint64_t Change)
    -> void {
  auto &Row = JobRows[Job];
  Row.LatestChange = Change;
  const auto *Entry = SharedContext.Scheduler.job(Job);
  UrgentQueued = UrgentQueued || (Entry && Entry->Spec.Priority == 0);
  if (!std::exchange(Row.Queued, true))
    Queue.push_back(Job);
}

auto JournalPartition::releaseUnwrittenJobs() -> std::vector<std::string> {
  std::vector<std::string> Released;
  std::deque<std::string> Kept;
  for (auto &Job : Queue) {
    const auto Row = JobRows.find(Job);
    if (Row == JobRows.end())
      continue; // The job's row was removed.
    if (Row->second.Version == 0 && Row->second.InFlightChange == 0) {
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
  Reading.reset();
  Retry.reset();
  BatchTimer.reset();
}

auto JournalPartition::latestChange(const std::string &Job) const
    -> std::uint64_t {
  const auto Found = JobRows.find(Job);
  return Found == JobRows.end() ? 0 : Found->second.LatestChange;
}

auto JournalPartition::isDurable(const std::string &Job,
                                 std::uint64_t Change) const -> bool {
  const auto Found = JobRows.find(Job);
  return Found == JobRows.end() || Found->second.DurableChange >= Change;
}

auto JournalPartition::confirmClaim() -> void {
  if (suspendAwareNow() - LastConfirmedAt < ConfirmationInterval)
    return;
  ConfirmationDue = true;
  flush();
}

auto JournalPartition::flush() -> void {
  if (WriteInProgress || Closed || !Claimed || OpenDone ||
      shouldWaitForMore() || !prepareWrite())
    return;
  WriteInProgress = true;
  send();
}

auto JournalPartition::shouldWaitForMore() -> bool {
  if (Queue.empty() || UrgentQueued || ConfirmationDue ||
      Queue.size() >= MaxJobsPerWrite)
    return false;
  const auto Delay = std::chrono::ceil<Milliseconds>(
      WriteStartedAt + BatchInterval - Clock::now());
  if (Delay <= Milliseconds(0))
    return false;
  if (!BatchTimer)
    BatchTimer = SharedContext.Loop.after(Delay, [this] {
      BatchTimer.reset();
      flush();
    });
  return true;
}

auto JournalPartition::prepareWrite() -> bool {
  if (Queue.empty() && Removals.empty() && !ConfirmationDue)
    return false;
  InFlightWrite = {};
  InFlightJobs.clear();
  InFlightMayBeApplied = false;
  if (!Queue.empty())
    WriteStartedAt = Clock::now();
  if (Queue.size() <= MaxJobsPerWrite)
    UrgentQueued = false;
  InFlightWrite.Conditions.push_back(
      {SharedContext.Rows.claimKey(Name), ClaimVersion});
  while (!Queue.empty() && InFlightJobs.size() < MaxJobsPerWrite) {
    const auto Id = std::move(Queue.front());
    Queue.pop_front();
    auto &Row = JobRows[Id];
    Row.Queued = false;
    const auto *Job = SharedContext.Scheduler.job(Id);
    if (!Job) {
      JobRows.erase(Id);
      continue;
    }
    Row.InFlightChange = Row.LatestChange;
    InFlightWrite.Conditions.push_back(
        {ShardRows::progressKey(Name, Id), Row.Version});
    InFlightWrite.Writes.push_back(
        {ShardRows::progressKey(Name, Id), encodeProgress(Job->Progress)});
    InFlightJobs.push_back(Id);
  }
  for (std::size_t Taken = 0; Taken < MaxRemovalsPerWrite && !Removals.empty();
       ++Taken) {
    InFlightWrite.Removals.push_back(
        ShardRows::progressKey(Name, Removals.back()));
    JobRows.erase(Removals.back());
    Removals.pop_back();
  }
  if (std::exchange(ConfirmationDue, false))
    InFlightWrite.Writes.push_back(
        {SharedContext.Rows.confirmationKey(Name),
         encodeHeartbeat({SharedContext.CurrentOwnership.Owner.FencingToken,
                          ++Confirmations, std::nullopt})});
  return true;
}

auto JournalPartition::send() -> void {
  SentAt = suspendAwareNow();
  SharedContext.Store.transact(
      InFlightWrite, SharedContext.Settings.StoreTimeout,
      [Self = shared_from_this()](const store::TransactionOutcome &Result) {
        if (!Self->Closed)
          std::visit([&](const auto &Case) { Self->onOutcome(Case); }, Result);
      });
}

auto JournalPartition::onOutcome(const store::TransactionCommitted &Outcome)
    -> void {
  onWriteApplied(Outcome.Version);
}

auto JournalPartition::onOutcome(const store::TransactionConflict &Outcome)
    -> void {
  // After an attempt that timed out, a conflict can mean that this attempt was
  // applied.
  std::map<store::RowKey, const store::Row *> Current;
  for (const auto &Each : Outcome.Current)
    Current[Each.Key] = &Each;
  const auto Claim = Current.find(SharedContext.Rows.claimKey(Name));
  if (Claim == Current.end() || Claim->second->Version != ClaimVersion) {
    SharedContext.OnLost("other-owner");
    return;
  }
  std::uint64_t Version = 0;
  for (const auto &Write : InFlightWrite.Writes) {
    if (Write.Key == SharedContext.Rows.confirmationKey(Name))
      continue;
    const auto Found = Current.find(Write.Key);
    if (Found == Current.end() || Found->second->Value != Write.Value) {
      logEvent(LogLevel::Error, "progress-row-changed",
               {{"job", Write.Key.Key}});
      SharedContext.OnLost("unexpected-row");
      return;
    }
    Version = Found->second->Version;
  }
  onWriteApplied(Version);
}

auto JournalPartition::onOutcome(const store::StoreRefusal &Outcome) -> void {
  if (InFlightMayBeApplied) {
    Retry = SharedContext.Loop.after(SharedContext.Settings.RetryDelay,
                                     [this] { send(); });
  } else {
    requeueRefusedWrite();
    Retry = SharedContext.Loop.after(SharedContext.Settings.RetryDelay, [this] {
      WriteInProgress = false;
      flush();
    });
  }
  recordFailure(UnavailableAfterFailures, Outcome.Reason);
}

auto JournalPartition::onOutcome(const store::StoreNoAnswer &Outcome) -> void {
  InFlightMayBeApplied = true;
  Retry = SharedContext.Loop.after(SharedContext.Settings.RetryDelay,
                                   [this] { send(); });
  recordFailure(1, Outcome.Reason);
}

auto JournalPartition::recordFailure(unsigned Weight, const std::string &Reason)
    -> void {
  const bool WasAvailable = isAvailable();
  Failures += Weight;
  logEvent(LogLevel::Warning, "progress-write-failed",
           {{"partition", Name},
            {"reason", Reason},
            {"available", isAvailable() ? "yes" : "no"}});
  if (WasAvailable && !isAvailable())
    SharedContext.OnAvailabilityChanged();
}

auto JournalPartition::requeueRefusedWrite() -> void {
  for (auto Job = InFlightJobs.rbegin(); Job != InFlightJobs.rend(); ++Job) {
    auto &Row = JobRows[*Job];
    Row.InFlightChange = 0;
    if (!std::exchange(Row.Queued, true))
      Queue.push_front(*Job);
  }
  for (const auto &Key : InFlightWrite.Removals)
    Removals.push_back(Key.Key);
  InFlightJobs.clear();
  ConfirmationDue = true;
}

auto JournalPartition::onWriteApplied(std::uint64_t Version) -> void {
  WriteInProgress = false;
  LastConfirmedAt = SentAt;
  for (const auto &Id : InFlightJobs)
    if (const auto Found = JobRows.find(Id); Found != JobRows.end()) {
      Found->second.Version = Version;
      Found->second.DurableChange = Found->second.InFlightChange;
    }
  if (std::exchange(Failures, 0) >= UnavailableAfterFailures)
    SharedContext.OnAvailabilityChanged();
  SharedContext.OnCommitted(InFlightJobs);
  if (!Closed)
    flush();
}

} // namespace jayramp::shard
