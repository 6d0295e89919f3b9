#include "Shard/ProgressCommitter.h"

#include "Base/EventLog.h"

#include <ctime>

namespace jayramp::shard {

namespace {

/// Jobs in one transaction; each takes up to a write and a removal, and the
/// conditions count too.
constexpr std::size_t JobsPerWrite = 30;
constexpr std::size_t RemovalsPerWrite = 2;

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

auto ProgressCommitter::noteRow(const std::string &Job, std::uint64_t Version,
                                bool HasWaitingRow) -> void {
  RowStates[Job] = {Version, HasWaitingRow};
}

auto ProgressCommitter::removeJob(const std::string &Job,
                                  const std::string &Queue) -> void {
  Removals.emplace_back(Job, Queue);
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

auto ProgressCommitter::compose() -> bool {
  const bool HeartbeatDue =
      Clock::now() - LastHeartbeat >= Settings.HeartbeatInterval;
  if (!Scheduler.hasChangedJobs() && !HeartbeatDue && Removals.empty())
    return false;
  InFlight = {};
  InFlight.Conditions.push_back({Rows.owner(), Held.OwnerVersion});
  InFlightJobs = Scheduler.takeChangedJobs(JobsPerWrite);
  InFlightCovers = Scheduler.hasChangedJobs() ? Pending - 1 : Pending++;
  for (const auto &Id : InFlightJobs) {
    const auto *Job = Scheduler.job(Id);
    auto &State = RowStates[Id];
    if (!Job)
      continue;
    InFlight.Conditions.push_back({Rows.progress(Id), State.Version});
    InFlight.Writes.push_back(
        {Rows.progress(Id), encodeProgress(Job->Progress)});
    if (State.HasWaitingRow &&
        Job->Progress.State != scheduling::JobState::Pending) {
      InFlight.Removals.push_back(Rows.waiting(Job->Spec.Queue, Id));
      State.HasWaitingRow = false;
    }
  }
  for (std::size_t Taken = 0; Taken < RemovalsPerWrite && !Removals.empty();
       ++Taken) {
    const auto [Id, Queue] = Removals.back();
    Removals.pop_back();
    InFlight.Removals.push_back(Rows.job(Id));
    InFlight.Removals.push_back(Rows.cancel(Id));
    InFlight.Removals.push_back(Rows.progress(Id));
    RowStates.erase(Id);
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
  for (const auto &Id : InFlightJobs)
    if (const auto Found = RowStates.find(Id); Found != RowStates.end())
      Found->second.Version = Version;
  Durable = InFlightCovers;
  Told.OnCommitted();
  if (!Closed)
    flush();
}

} // namespace jayramp::shard
