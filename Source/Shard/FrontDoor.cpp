#include "Shard/FrontDoor.h"

#include "Base/EventLog.h"
#include "Base/Overloaded.h"
#include "Shard/ShardRows.h"

#include <algorithm>

namespace jayramp::shard {

namespace {

/// Wait for one answer of a store that is not slow.
constexpr Milliseconds AttemptTimeout{800};
/// A slow store gets this multiple of its latency.
constexpr int LatenciesOfAttempt = 4;
/// A shorter rest is not worth another attempt.
constexpr Milliseconds MinAttempt{40};
constexpr Milliseconds RetryDelay{60};

auto attemptTimeout(const store::RowStore &Store, Milliseconds Left)
    -> Milliseconds {
  const auto Patience =
      std::max(AttemptTimeout, Store.recentLatency() * LatenciesOfAttempt);
  return std::min(Left, Patience);
}

auto remaining(TimePoint Deadline) -> Milliseconds {
  return std::chrono::duration_cast<Milliseconds>(Deadline - Clock::now());
}

/// The one row with this key.
auto only(const store::RowKey &Key) -> store::RangeQuery {
  return {Key.Table, Key.Partition, Key.Key, Key.Key + store::KeySuccessor};
}

} // namespace

struct FrontDoor::Write {
  store::RowTransaction Change;
  TimePoint Deadline;
  bool MayBeDone = false; ///< An attempt was not answered.
  std::function<void(CallOutcome, bool Conflicted)> Done;
  net::EventLoop::TimerHandle Delay;
};

struct FrontDoor::Read {
  store::RangeQuery Query;
  TimePoint Deadline;
  std::function<void(std::optional<store::RowPage>)> Done;
  net::EventLoop::TimerHandle Delay;
};

auto FrontDoor::attempt(std::shared_ptr<Write> Call) -> void {
  const auto Left = remaining(Call->Deadline);
  const bool Hopeless = !Call->MayBeDone && !Store.available();
  if (Left < MinAttempt || Hopeless) {
    Call->Done(Call->MayBeDone ? CallOutcome::Unknown : CallOutcome::NotDone,
               false);
    return;
  }
  const auto Again = [this, Call] {
    Call->Delay = Loop.after(RetryDelay, [this, Call] { attempt(Call); });
  };
  Store.transact(Call->Change, attemptTimeout(Store, Left),
                 [Call, Again](store::TransactionOutcome Outcome) {
                   std::visit(
                       Overloaded{[&](store::Committed &) {
                                    Call->Done(CallOutcome::Done, false);
                                  },
                                  [&](store::Conflicted &) {
                                    Call->Done(CallOutcome::Done, true);
                                  },
                                  [&](store::StoreRefused &) { Again(); },
                                  [&](store::StoreUnanswered &) {
                                    Call->MayBeDone = true;
                                    Again();
                                  }},
                       Outcome);
                 });
}

auto FrontDoor::attempt(std::shared_ptr<Read> Call) -> void {
  const auto Left = remaining(Call->Deadline);
  if (Left < MinAttempt || !Store.available()) {
    Call->Done(std::nullopt);
    return;
  }
  Store.read(Call->Query, attemptTimeout(Store, Left),
             [this, Call](store::ReadOutcome Outcome) {
               if (auto *Page = std::get_if<store::RowPage>(&Outcome)) {
                 Call->Done(std::move(*Page));
                 return;
               }
               Call->Delay =
                   Loop.after(RetryDelay, [this, Call] { attempt(Call); });
             });
}

auto FrontDoor::submit(scheduling::JobSpec Job, TimePoint Deadline,
                       Callback Done) -> void {
  const ShardRows Rows(Job.Service);
  auto Call = std::make_shared<Write>();
  Call->Deadline = Deadline;
  Call->Change.Conditions.push_back({Rows.job(Job.Id), 0});
  Call->Change.Writes.push_back({Rows.job(Job.Id), encodeJob(Job)});
  Call->Change.Writes.push_back({Rows.waiting(Job.Queue, Job.Id), "1"});
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
  attempt(std::move(Call));
}

auto FrontDoor::read(store::RangeQuery Query, TimePoint Deadline,
                     std::function<void(std::optional<store::RowPage>)> Done)
    -> void {
  auto Call = std::make_shared<Read>();
  Call->Query = std::move(Query);
  Call->Deadline = Deadline;
  Call->Done = std::move(Done);
  attempt(std::move(Call));
}

auto FrontDoor::state(const std::string &Shard, const std::string &Job,
                      TimePoint Deadline, StateCallback Done) -> void {
  const auto Key = ShardRows(Shard).progress(Job);
  read(only(Key), Deadline,
       [this, Shard, Job, Deadline,
        Done = std::move(Done)](std::optional<store::RowPage> Page) {
         if (!Page) {
           Done(CallOutcome::NotDone, {});
           return;
         }
         if (Page->Rows.empty()) {
           readJobRow(Shard, Job, Deadline, Done);
           return;
         }
         auto Progress = decodeProgress(Page->Rows.front().Value);
         if (!Progress) {
           logEvent(LogLevel::Error, "progress-row-malformed",
                    {{"job", Job}, {"error", Progress.error().message()}});
           Done(CallOutcome::Unknown, {});
           return;
         }
         Done(CallOutcome::Done, Progress.value().State);
       });
}

auto FrontDoor::readJobRow(const std::string &Shard, const std::string &Job,
                           TimePoint Deadline, StateCallback Done) -> void {
  read(only(ShardRows(Shard).job(Job)), Deadline,
       [Done = std::move(Done)](std::optional<store::RowPage> Page) {
         if (!Page)
           Done(CallOutcome::NotDone, {});
         else if (Page->Rows.empty())
           Done(CallOutcome::NotFound, {});
         else
           Done(CallOutcome::Done, scheduling::JobState::Pending);
       });
}

auto FrontDoor::cancel(const std::string &Shard, const std::string &Job,
                       TimePoint Deadline, Callback Done) -> void {
  state(Shard, Job, Deadline,
        [this, Shard, Job, Deadline, Done = std::move(Done)](
            CallOutcome Outcome, scheduling::JobState State) {
          if (Outcome != CallOutcome::Done || isFinal(State)) {
            Done(Outcome);
            return;
          }
          auto Call = std::make_shared<Write>();
          Call->Deadline = Deadline;
          Call->Change.Writes.push_back({ShardRows(Shard).cancel(Job), "1"});
          Call->Done = [Done](CallOutcome Written, bool) { Done(Written); };
          attempt(std::move(Call));
        });
}

auto FrontDoor::waiting(const std::string &Shard, const std::string &Queue,
                        TimePoint Deadline, CountCallback Done) -> void {
  struct Sum {
    std::size_t Left = 0;
    std::size_t Count = 0;
    bool Failed = false;
  };
  const auto Queries = ShardRows(Shard).waitingOf(Queue);
  const auto Total = std::make_shared<Sum>();
  Total->Left = Queries.size();
  for (const auto &Query : Queries)
    read(Query, Deadline, [Total, Done](std::optional<store::RowPage> Page) {
      Total->Failed = Total->Failed || !Page;
      Total->Count += Page ? Page->Rows.size() : 0;
      if (--Total->Left == 0)
        Done(Total->Failed ? CallOutcome::NotDone : CallOutcome::Done,
             Total->Count);
    });
}

} // namespace jayramp::shard
