#include "Shard/JobGateway.h"

#include "Base/EventLog.h"
#include "Base/Overloaded.h"
#include "Shard/ShardRows.h"

#include <algorithm>

namespace jayramp::shard {

namespace {

/// Shortest timeout of one attempt. A partition that does not answer is found
/// out earlier, by the hedge delay.
constexpr Milliseconds MinAttemptTimeout{2000};
/// Attempt timeouts and hedge delays are at least this multiple of the store's
/// recent latency.
constexpr int AttemptLatencyFactor = 4;
/// The same while the store is slow: a write then waits for others in its
/// partition, and another attempt would only wait behind it.
constexpr int SlowAttemptLatencyFactor = 10;
/// An attempt is started only if at least this time remains until the deadline.
constexpr Milliseconds MinTimeForAttempt{40};
constexpr Milliseconds RetryDelay{60};
/// Delay before the next partition is tried while the store is slow: it refuses
/// calls whose partition has a long queue, and all queues are about as long.
constexpr Milliseconds SlowRetryDelay{300};
constexpr Milliseconds ProbeTimeout{400};
/// Shortest time that one partition has to answer before a second one is tried
/// in parallel.
constexpr Milliseconds MinHedgeDelay{500};
/// Time for which a partition that failed is tried only after the others.
constexpr Milliseconds FailedPartitionPenalty{2000};

auto isSlow(const store::RowStore &Store) -> bool {
  return Store.recentLatency() >= store::SlowStoreLatency;
}

auto attemptTimeout(const store::RowStore &Store, Milliseconds Remaining)
    -> Milliseconds {
  const auto Factor =
      isSlow(Store) ? SlowAttemptLatencyFactor : AttemptLatencyFactor;
  const auto Timeout =
      std::max(MinAttemptTimeout, Store.recentLatency() * Factor);
  return std::min(Remaining, Timeout);
}

/// Returns the time after which a second partition is tried in parallel.
auto hedgeDelay(const store::RowStore &Store) -> Milliseconds {
  return std::max(MinHedgeDelay, Store.recentLatency() * AttemptLatencyFactor);
}

auto partitionOf(const store::RowTransaction &Change) -> const std::string & {
  return Change.Writes.front().Key.Partition;
}

auto remaining(TimePoint Deadline) -> Milliseconds {
  return std::chrono::duration_cast<Milliseconds>(Deadline - Clock::now());
}

/// Returns a query that matches only the row with this key.
auto singleRowQuery(const store::RowKey &Key) -> store::RangeQuery {
  return {Key.Table, Key.Partition, Key.Key,
          Key.Key + store::KeySuccessorSuffix};
}

} // namespace

struct JobGateway::Write {
  std::string Shard;
  /// The same change for each partition that may store it, in order of
  /// preference.
  std::vector<store::RowTransaction> Alternatives;
  std::size_t Next = 0;    ///< Index of the alternative to try next.
  std::size_t Failed = 0;  ///< Failed alternatives since the last retry delay.
  std::size_t Pending = 0; ///< Number of attempts without an answer yet.
  TimePoint Deadline;
  bool MayBeApplied = false; ///< An attempt timed out.
  bool Finished = false;
  std::function<void(CallOutcome, bool Conflicted)> Done;
  net::EventLoop::TimerHandle Delay;
  net::EventLoop::TimerHandle Hedge;

  auto finish(CallOutcome Outcome, bool Conflicted) -> void {
    Finished = true;
    Delay.reset();
    Hedge.reset();
    Done(Outcome, Conflicted);
  }
};

struct JobGateway::Read {
  store::RangeQuery Query;
  TimePoint Deadline;
  std::function<void(std::optional<store::RowPage>)> Done;
  net::EventLoop::TimerHandle Delay;
};

auto JobGateway::start(std::shared_ptr<Write> Call) -> void {
  // Partitions that failed recently are tried last.
  std::stable_partition(Call->Alternatives.begin(), Call->Alternatives.end(),
                        [this](const store::RowTransaction &Alternative) {
                          return !failedRecently(partitionOf(Alternative));
                        });
  attempt(std::move(Call));
}

auto JobGateway::attempt(std::shared_ptr<Write> Call) -> void {
  const auto Remaining = remaining(Call->Deadline);
  const bool CannotComplete = !Call->MayBeApplied && !Store.available();
  if (Remaining < MinTimeForAttempt || CannotComplete) {
    // The answer to a pending attempt decides the outcome of the call.
    if (Call->Pending == 0)
      Call->finish(Call->MayBeApplied ? CallOutcome::Unknown
                                      : CallOutcome::NotExecuted,
                   false);
    return;
  }
  const auto Alternative = Call->Next;
  ++Call->Pending;
  Store.transact(
      Call->Alternatives[Alternative], attemptTimeout(Store, Remaining),
      [this, Call, Alternative](const store::TransactionOutcome &Outcome) {
        --Call->Pending;
        if (!Call->Finished)
          onWriteOutcome(Call, Alternative, Outcome);
      });
  scheduleHedge(Call);
}

auto JobGateway::scheduleHedge(const std::shared_ptr<Write> &Call) -> void {
  // The partitions of a slow store are all slow, and a second attempt would
  // only add to their load.
  if (Call->Pending != 1 || Call->Alternatives.size() < 2 || isSlow(Store))
    return;
  Call->Hedge =
      Loop.after(hedgeDelay(Store), [this, Weak = std::weak_ptr(Call)] {
        if (const auto Call = Weak.lock())
          probeAndHedge(Call);
      });
}

auto JobGateway::probeAndHedge(const std::shared_ptr<Write> &Call) -> void {
  // This host may not have noticed yet that the store has become slow. If only
  // the partition of the pending attempt is slow, the probe is answered
  // quickly.
  const auto Next = (Call->Next + 1) % Call->Alternatives.size();
  const auto &Key = Call->Alternatives[Next].Writes.front().Key;
  Store.read(singleRowQuery(Key), ProbeTimeout,
             [this, Call, Next](const store::ReadOutcome &Outcome) {
               if (Call->Finished || Call->Pending != 1)
                 return;
               // Without an answer the store is unavailable to this host. The
               // next attempt may go through a peer, to the same partition,
               // which tells whether the pending one was applied.
               const bool Answered =
                   std::holds_alternative<store::RowPage>(Outcome);
               if (Answered && isSlow(Store))
                 return;
               if (Answered)
                 Call->Next = Next;
               attempt(Call);
             });
}

auto JobGateway::onWriteOutcome(const std::shared_ptr<Write> &Call,
                                std::size_t Alternative,
                                const store::TransactionOutcome &Outcome)
    -> void {
  const auto Partition = partitionOf(Call->Alternatives[Alternative]);
  const auto OnCommitted = [&](const store::TransactionCommitted &Case) {
    DeprioritizedUntil.erase(Partition);
    notifyStored(*Call, Alternative, Case.Version);
    Call->finish(CallOutcome::Done, false);
  };
  const auto OnConflicted = [&](const store::TransactionConflict &) {
    DeprioritizedUntil.erase(Partition);
    Call->finish(CallOutcome::Done, true);
  };
  const auto OnRefused = [&](const store::StoreRefusal &) {
    DeprioritizedUntil[Partition] = Clock::now() + FailedPartitionPenalty;
    if (Call->Pending == 0)
      tryNextPartition(Call);
  };
  const auto OnUnanswered = [&](const store::StoreNoAnswer &) {
    DeprioritizedUntil[Partition] = Clock::now() + FailedPartitionPenalty;
    Call->MayBeApplied = true;
    // Retries in the same partition, which reports a conflict if the write that
    // timed out was applied.
    Call->Next = Alternative;
    attempt(Call);
  };
  std::visit(Overloaded{OnCommitted, OnConflicted, OnRefused, OnUnanswered},
             Outcome);
}

auto JobGateway::notifyStored(const Write &Call, std::size_t Alternative,
                              std::uint64_t Version) const -> void {
  const auto &Stored = Call.Alternatives[Alternative].Writes.front();
  if (OnStored)
    OnStored(Call.Shard, {Stored.Key, Stored.Value, Version, false});
}

auto JobGateway::tryNextPartition(const std::shared_ptr<Write> &Call) -> void {
  Call->Next = (Call->Next + 1) % Call->Alternatives.size();
  if (++Call->Failed < Call->Alternatives.size() && !isSlow(Store)) {
    attempt(Call);
    return;
  }
  Call->Failed = 0;
  Call->Delay = Loop.after(isSlow(Store) ? SlowRetryDelay : RetryDelay,
                           [this, Call] { attempt(Call); });
}

auto JobGateway::failedRecently(const std::string &Partition) const -> bool {
  const auto Found = DeprioritizedUntil.find(Partition);
  return Found != DeprioritizedUntil.end() && Clock::now() < Found->second;
}

auto JobGateway::cannotComplete(TimePoint Deadline) const -> bool {
  return remaining(Deadline) < MinTimeForAttempt || !Store.available();
}

auto JobGateway::readOnce(
    store::RangeQuery Query, TimePoint Deadline,
    std::function<void(std::optional<store::RowPage>)> Done) -> void {
  if (cannotComplete(Deadline))
    Done(std::nullopt);
  else
    sendRead(std::move(Query), Deadline, std::move(Done));
}

auto JobGateway::sendRead(
    store::RangeQuery Query, TimePoint Deadline,
    std::function<void(std::optional<store::RowPage>)> Done) -> void {
  Store.read(std::move(Query), attemptTimeout(Store, remaining(Deadline)),
             [Done = std::move(Done)](store::ReadOutcome Outcome) {
               if (auto *Page = std::get_if<store::RowPage>(&Outcome))
                 Done(std::move(*Page));
               else
                 Done(std::nullopt);
             });
}

auto JobGateway::attempt(std::shared_ptr<Read> Call) -> void {
  if (cannotComplete(Call->Deadline)) {
    Call->Done(std::nullopt);
    return;
  }
  sendRead(Call->Query, Call->Deadline,
           [this, Call](std::optional<store::RowPage> Page) {
             if (Page)
               Call->Done(std::move(Page));
             else
               Call->Delay =
                   Loop.after(RetryDelay, [this, Call] { attempt(Call); });
           });
}

auto JobGateway::submit(scheduling::JobSpec Job, TimePoint Deadline,
                        Callback Done) -> void {
  auto Call = std::make_shared<Write>();
  Call->Shard = Job.Service;
  Call->Deadline = Deadline;
  const auto Value = encodeJob(Job);
  for (const auto &Intake :
       ShardRows(Job.Service).intakePartitionsFor(Job.Id)) {
    const auto Key = ShardRows::jobKey(Intake, Job.Id);
    Call->Alternatives.push_back(
        {{{Key, 0}},
         {{Key, Value},
          {ShardRows::waitingKey(Intake, Job.Queue, Job.Id), "1"}},
         {}});
  }
  std::size_t Tasks = 0;
  for (const auto &Step : Job.Steps)
    Tasks += Step.Count;
  Call->Done = [Id = Job.Id, Queue = Job.Queue, Priority = Job.Priority, Tasks,
                Gpus = Job.Steps.front().Need.Gpus,
                Done = std::move(Done)](CallOutcome Outcome, bool Known) {
    logEvent(LogLevel::Info, "job-submitted",
             {{"job", Id},
              {"queue", Queue},
              {"priority", std::to_string(Priority)},
              {"tasks", std::to_string(Tasks)},
              {"gpus", std::to_string(Gpus)},
              {"outcome", std::to_string(static_cast<int>(Outcome))},
              {"known", Known ? "yes" : "no"}});
    Done(Outcome);
  };
  start(std::move(Call));
}

auto JobGateway::read(store::RangeQuery Query, TimePoint Deadline,
                      std::function<void(std::optional<store::RowPage>)> Done)
    -> void {
  auto Call = std::make_shared<Read>();
  Call->Query = std::move(Query);
  Call->Deadline = Deadline;
  Call->Done = std::move(Done);
  attempt(std::move(Call));
}

/// Collects the rows of one job from several partitions.
struct JobGateway::Lookup {
  std::size_t Remaining = 0;
  bool Failed = false; ///< A partition could not be read.
  bool Accepted = false;
  std::optional<store::Row> Progress;
  StateCallback Done;
};

auto JobGateway::queryState(const std::string &Shard, const std::string &Job,
                            TimePoint Deadline, StateCallback Done) -> void {
  const ShardRows Rows(Shard);
  const auto Preferred =
      Rows.journalPartitions().at(Rows.preferredJournalIndex(Job));
  if (failedRecently(Preferred)) {
    readAllPartitions(Shard, Job, Deadline, std::move(Done));
    return;
  }
  readOnce(singleRowQuery(ShardRows::progressKey(Preferred, Job)), Deadline,
           [this, Shard, Job, Deadline, Preferred,
            Done = std::move(Done)](std::optional<store::RowPage> Page) {
             if (!Page)
               DeprioritizedUntil[Preferred] =
                   Clock::now() + FailedPartitionPenalty;
             if (Page && !Page->Rows.empty())
               reportState(Page->Rows.front(), Done);
             else
               readAllPartitions(Shard, Job, Deadline, Done);
           });
}

auto JobGateway::reportState(const store::Row &Progress,
                             const StateCallback &Done) -> void {
  const auto Decoded = decodeProgress(Progress.Value);
  if (Decoded) {
    Done(CallOutcome::Done, Decoded.value().State);
    return;
  }
  logEvent(LogLevel::Error, "progress-row-malformed",
           {{"job", Progress.Key.Key}, {"error", Decoded.error().message()}});
  Done(CallOutcome::Unknown, {});
}

auto JobGateway::readAllPartitions(const std::string &Shard,
                                   const std::string &Job, TimePoint Deadline,
                                   StateCallback Done) -> void {
  const ShardRows Rows(Shard);
  std::vector<store::RowKey> Keys;
  for (const auto &Journal : Rows.journalPartitions())
    Keys.push_back(ShardRows::progressKey(Journal, Job));
  for (const auto &Intake : Rows.intakePartitions())
    Keys.push_back(ShardRows::jobKey(Intake, Job));
  const auto Found = std::make_shared<Lookup>();
  Found->Remaining = Keys.size();
  Found->Done = std::move(Done);
  for (const auto &Key : Keys)
    readOnce(singleRowQuery(Key), Deadline,
             [this, Found](std::optional<store::RowPage> Page) {
               onPartitionRead(*Found, std::move(Page));
             });
}

auto JobGateway::onPartitionRead(Lookup &Found,
                                 std::optional<store::RowPage> Page) -> void {
  Found.Failed = Found.Failed || !Page;
  if (Page && !Page->Rows.empty()) {
    auto &Row = Page->Rows.front();
    Found.Accepted = true;
    if (Row.Key.Table == ShardRows::ProgressTable)
      Found.Progress = std::move(Row);
  }
  if (--Found.Remaining > 0)
    return;
  if (Found.Progress)
    reportState(*Found.Progress, Found.Done);
  else if (Found.Failed)
    Found.Done(CallOutcome::NotExecuted, {});
  else if (Found.Accepted)
    Found.Done(CallOutcome::Done, scheduling::JobState::Pending);
  else
    Found.Done(CallOutcome::NotFound, {});
}

auto JobGateway::cancel(const std::string &Shard, const std::string &Job,
                        TimePoint Deadline, Callback Done) -> void {
  queryState(
      Shard, Job, Deadline,
      [this, Shard, Job, Deadline, Done = std::move(Done)](
          CallOutcome Outcome, scheduling::JobState State) {
        if (Outcome != CallOutcome::Done || isFinal(State)) {
          Done(Outcome);
          return;
        }
        auto Call = std::make_shared<Write>();
        Call->Shard = Shard;
        Call->Deadline = Deadline;
        for (const auto &Intake : ShardRows(Shard).intakePartitionsFor(Job))
          Call->Alternatives.push_back(
              {{}, {{ShardRows::cancelKey(Intake, Job), "1"}}, {}});
        Call->Done = [Done](CallOutcome Written, bool) { Done(Written); };
        start(std::move(Call));
      });
}

auto JobGateway::countWaitingJobs(const std::string &Shard,
                                  const std::string &Queue, TimePoint Deadline,
                                  CountCallback Done) -> void {
  if (const auto Recent = ReadWaitingCount ? ReadWaitingCount(Shard, Queue)
                                           : std::optional<std::size_t>()) {
    Done(CallOutcome::Done, *Recent);
    return;
  }
  struct WaitingTotal {
    std::size_t Remaining = 0;
    std::size_t Count = 0;
    bool Failed = false;
  };
  const auto Queries = ShardRows(Shard).waitingQueries(Queue);
  const auto Total = std::make_shared<WaitingTotal>();
  Total->Remaining = Queries.size();
  for (const auto &Query : Queries)
    read(Query, Deadline, [Total, Done](std::optional<store::RowPage> Page) {
      Total->Failed = Total->Failed || !Page;
      Total->Count += Page ? Page->Rows.size() : 0;
      if (--Total->Remaining == 0)
        Done(Total->Failed ? CallOutcome::NotExecuted : CallOutcome::Done,
             Total->Count);
    });
}

} // namespace jayramp::shard
