#include "Shard/ProgressCommitter.h"

#include "Base/EventLog.h"

#include <ctime>

namespace jayramp::shard {

namespace {

/// Jobs in one transaction; each takes a write and a condition.
constexpr std::size_t JobsPerWrite = 30;
constexpr std::size_t RemovalsPerWrite = 20;

} // namespace

auto suspendAwareNow() -> Milliseconds {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return std::chrono::duration_cast<Milliseconds>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

ProgressCommitter::ProgressCommitter(net::EventLoop &Loop,
                                     store::RowStore &Store,
                                     scheduling::ShardScheduler &Scheduler,
                                     ShardRows Rows,
                                     const ShardSettings &Settings,
                                     Ownership Held, Callbacks Told)
    : Loop(Loop), Store(Store), Scheduler(Scheduler), Rows(std::move(Rows)),
      Settings(Settings), Held(Held), Told(std::move(Told)),
      LastConfirmed(suspendAwareNow()) {}

auto ProgressCommitter::noteRow(const std::string &Job, std::uint64_t Version)
    -> void {
  RowVersions[Job] = Version;
}

auto ProgressCommitter::removeProgress(const std::string &Job) -> void {
  Removals.push_back(Job);
}

auto ProgressCommitter::close() -> void {
  Closed = true;
  Retry.reset();
}

auto ProgressCommitter::changeNumber() const -> std::uint64_t {
  if (Scheduler.hasChangedJobs())
    return Pending;
  return Busy ? InFlightCovers : Durable;
}

auto ProgressCommitter::flush() -> void {
  if (Busy || Closed || !compose())
    return;
  Busy = true;
  send();
}

auto ProgressCommitter::heartbeatInterval() const -> Milliseconds {
  // A slow store must not be kept busy with heartbeats.
  return std::max(Settings.HeartbeatInterval, LastDuration);
}

auto ProgressCommitter::compose() -> bool {
  const bool HeartbeatDue = Clock::now() - LastHeartbeat >= heartbeatInterval();
  if (!Scheduler.hasChangedJobs() && !HeartbeatDue && Removals.empty())
    return false;
  InFlight = {};
  InFlight.Conditions.push_back({Rows.owner(), Held.OwnerVersion});
  InFlightJobs = Scheduler.takeChangedJobs(JobsPerWrite);
  InFlightCovers = Scheduler.hasChangedJobs() ? Pending - 1 : Pending++;
  for (const auto &Id : InFlightJobs) {
    const auto *Job = Scheduler.job(Id);
    if (!Job)
      continue;
    InFlight.Conditions.push_back({Rows.progress(Id), RowVersions[Id]});
    InFlight.Writes.push_back(
        {Rows.progress(Id), encodeProgress(Job->Progress)});
  }
  for (std::size_t Taken = 0; Taken < RemovalsPerWrite && !Removals.empty();
       ++Taken) {
    InFlight.Removals.push_back(Rows.progress(Removals.back()));
    RowVersions.erase(Removals.back());
    Removals.pop_back();
  }
  if (HeartbeatDue) {
    LastHeartbeat = Clock::now();
    InFlight.Writes.push_back(
        {Rows.heartbeat(),
         encodeHeartbeat(Held.FencingToken, ++HeartbeatSequence)});
  }
  return true;
}

auto ProgressCommitter::send() -> void {
  SentAt = suspendAwareNow();
  Store.transact(InFlight, Settings.StoreTimeout,
                 [Self = shared_from_this()](store::TransactionOutcome Result) {
                   if (!Self->Closed)
                     std::visit([&](auto &Case) { Self->onOutcome(Case); },
                                Result);
                 });
}

auto ProgressCommitter::onOutcome(store::Committed &Outcome) -> void {
  finish(Outcome.Version);
}

auto ProgressCommitter::onOutcome(store::Conflicted &Outcome) -> void {
  // A conflict after an attempt without an answer can be our own success.
  std::map<store::RowKey, const store::Row *> Current;
  for (const auto &Each : Outcome.Current)
    Current[Each.Key] = &Each;
  const auto Owner = Current.find(Rows.owner());
  if (Owner == Current.end() || Owner->second->Version != Held.OwnerVersion) {
    Told.OnLost("other-owner");
    return;
  }
  std::uint64_t Version = 0;
  for (const auto &Write : InFlight.Writes) {
    const auto Found = Current.find(Write.Key);
    if (Write.Key == Rows.heartbeat())
      continue;
    if (Found == Current.end() || Found->second->Value != Write.Value) {
      logEvent(LogLevel::Error, "progress-row-changed",
               {{"job", Write.Key.Key}});
      Told.OnLost("unexpected-row");
      return;
    }
    Version = Found->second->Version;
  }
  finish(Version);
}

auto ProgressCommitter::onOutcome(store::StoreRefused &Outcome) -> void {
  logEvent(LogLevel::Warning, "progress-write-refused",
           {{"reason", Outcome.Reason}});
  retry();
}

auto ProgressCommitter::onOutcome(store::StoreUnanswered &Outcome) -> void {
  logEvent(LogLevel::Warning, "progress-write-unanswered",
           {{"reason", Outcome.Reason}});
  retry();
}

auto ProgressCommitter::retry() -> void {
  Retry = Loop.after(Settings.RetryDelay, [this] { send(); });
}

auto ProgressCommitter::finish(std::uint64_t Version) -> void {
  Busy = false;
  LastConfirmed = SentAt;
  LastDuration = suspendAwareNow() - SentAt;
  for (const auto &Id : InFlightJobs)
    if (const auto Found = RowVersions.find(Id); Found != RowVersions.end())
      Found->second = Version;
  Durable = InFlightCovers;
  Told.OnCommitted();
  if (!Closed)
    flush();
}

} // namespace jayramp::shard
