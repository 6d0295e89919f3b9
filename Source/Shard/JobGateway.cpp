#include "Shard/JobGateway.h"

#include "Base/EventLog.h"
#include "Base/Overloaded.h"
#include "Shard/ShardRows.h"
#include "Shard/StoreAttempt.h"

#include <algorithm>

namespace jayramp::shard {

namespace {

constexpr Milliseconds RetryDelay{60};
/// Delay before the next partition is tried while the store is slow: it refuses
/// calls whose partition has a long queue, and all queues are about as long.
constexpr Milliseconds SlowRetryDelay{300};
constexpr Milliseconds ProbeTimeout{400};

auto partitionOf(const store::RowTransaction &Change) -> const std::string & {
  return Change.Writes.front().Key.Partition;
}

} // namespace

struct JobGateway::Write {
  std::string Shard; ///< Its owner is notified of the stored row.
  /// The only partition of which the owner may be notified; empty for any.
  std::string NotifiablePartition;
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
                          return !Health.failedRecently(
                              partitionOf(Alternative));
                        });
  attempt(std::move(Call));
}

auto JobGateway::attempt(std::shared_ptr<Write> Call) -> void {
  const auto Remaining = remainingUntil(Call->Deadline);
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
  Store.read(store::singleRowQuery(Key), ProbeTimeout,
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
    Health.recordSuccess(Partition);
    notifyStored(*Call, Alternative, Case.Version);
    Call->finish(CallOutcome::Done, false);
  };
  const auto OnConflicted = [&](const store::TransactionConflict &) {
    Health.recordSuccess(Partition);
    Call->finish(CallOutcome::Done, true);
  };
  const auto OnRefused = [&](const store::StoreRefusal &) {
    Health.recordFailure(Partition);
    if (Call->Pending == 0)
      tryNextPartition(Call);
  };
  const auto OnUnanswered = [&](const store::StoreNoAnswer &) {
    Health.recordFailure(Partition);
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
  const bool MayNotify = Call.NotifiablePartition.empty() ||
                         Call.NotifiablePartition == Stored.Key.Partition;
  if (OnStored && MayNotify)
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

auto JobGateway::attempt(std::shared_ptr<Read> Call) -> void {
  const auto Remaining = remainingUntil(Call->Deadline);
  if (Remaining < MinTimeForAttempt || !Store.available()) {
    Call->Done(std::nullopt);
    return;
  }
  Store.read(Call->Query, attemptTimeout(Store, Remaining),
             [this, Call](store::ReadOutcome Outcome) {
               if (auto *Page = std::get_if<store::RowPage>(&Outcome))
                 Call->Done(std::move(*Page));
               else
                 Call->Delay =
                     Loop.after(RetryDelay, [this, Call] { attempt(Call); });
             });
}

auto JobGateway::submit(scheduling::JobSpec Job, TimePoint Deadline,
                        Callback Done, IntakeChoice Choice) -> void {
  auto Call = std::make_shared<Write>();
  Call->Shard = Job.Service;
  Call->Deadline = Deadline;
  const auto Value = encodeJob(Job);
  auto Intakes = ShardRows::intakePartitionsFor(Job.Id);
  // The job may be stored in another partition too, for another service, by a
  // repeated request to a host with another version of the configuration. Only
  // the change feed tells which of the two was stored first.
  Call->NotifiablePartition = Intakes.front();
  if (Choice == IntakeChoice::Preferred)
    Intakes.resize(1);
  for (const auto &Intake : Intakes) {
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

auto JobGateway::queryState(const QueueServices &Services,
                            const std::string &Job, TimePoint Deadline,
                            StateCallback Done) -> void {
  Locator.locate(
      Services, Job, Deadline,
      [Done = std::move(Done)](CallOutcome Outcome, const LocatedJob &Found) {
        Done(Outcome, Found.State);
      });
}

auto JobGateway::cancel(const QueueServices &Services, const std::string &Job,
                        TimePoint Deadline, Callback Done) -> void {
  Locator.locate(
      Services, Job, Deadline,
      [this, Job, Deadline, Done = std::move(Done)](CallOutcome Outcome,
                                                    const LocatedJob &Found) {
        if (Outcome != CallOutcome::Done || isFinal(Found.State)) {
          Done(Outcome);
          return;
        }
        auto Call = std::make_shared<Write>();
        Call->Shard = Found.Service;
        Call->Deadline = Deadline;
        for (const auto &Intake : ShardRows::intakePartitionsFor(Job))
          Call->Alternatives.push_back(
              {{}, {{ShardRows::cancelKey(Intake, Job), "1"}}, {}});
        Call->Done = [Done](CallOutcome Written, bool) { Done(Written); };
        start(std::move(Call));
      });
}

auto JobGateway::countWaitingJobs(const std::string &Service,
                                  const std::string &Queue, TimePoint Deadline,
                                  CountCallback Done) -> void {
  if (const auto Recent = ReadWaitingCount ? ReadWaitingCount(Service, Queue)
                                           : std::optional<std::size_t>()) {
    Done(CallOutcome::Done, *Recent);
    return;
  }
  struct WaitingTotal {
    std::size_t Remaining = 0;
    std::size_t Count = 0;
    bool Failed = false;
  };
  const auto Queries = ShardRows::waitingQueries(Queue);
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
