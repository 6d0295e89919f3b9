#include "Shard/FrontDoor.h"

#include "Base/EventLog.h"
#include "Base/Overloaded.h"
#include "Shard/ShardRows.h"

#include <algorithm>

namespace jayramp::shard {

namespace {

/// Longest wait for one answer of the store.
constexpr Milliseconds AttemptTimeout{900};
/// A shorter rest is not worth another attempt.
constexpr Milliseconds MinAttempt{40};
constexpr Milliseconds RetryDelay{60};

auto remaining(TimePoint Deadline) -> Milliseconds {
  return std::chrono::duration_cast<Milliseconds>(Deadline - Clock::now());
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
  Store.transact(Call->Change, std::min(Left, AttemptTimeout),
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
  Store.read(Call->Query, std::min(Left, AttemptTimeout),
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
  scheduling::JobProgress Progress;
  for (const auto &Step : Job.Steps)
    Progress.Steps.emplace_back(Step.Count);
  auto Call = std::make_shared<Write>();
  Call->Deadline = Deadline;
  Call->Change.Conditions.push_back({Rows.progress(Job.Id), 0});
  Call->Change.Writes.push_back({Rows.job(Job.Id), encodeJob(Job)});
  Call->Change.Writes.push_back(
      {Rows.progress(Job.Id), encodeProgress(Progress)});
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

auto FrontDoor::state(const std::string &Shard, const std::string &Job,
                      TimePoint Deadline, StateCallback Done) -> void {
  auto Call = std::make_shared<Read>();
  const auto Key = ShardRows(Shard).progress(Job);
  Call->Query = {Key.Table, Key.Partition, Key.Key,
                 Key.Key + store::KeySuccessor};
  Call->Deadline = Deadline;
  Call->Done = [Job,
                Done = std::move(Done)](std::optional<store::RowPage> Page) {
    if (!Page) {
      Done(CallOutcome::NotDone, {});
      return;
    }
    for (const auto &Each : Page->Rows) {
      if (Each.Key.Key != Job)
        continue;
      auto Progress = decodeProgress(Each.Value);
      if (!Progress) {
        logEvent(LogLevel::Error, "progress-row-malformed",
                 {{"job", Job}, {"error", Progress.error().message()}});
        Done(CallOutcome::Unknown, {});
        return;
      }
      Done(CallOutcome::Done, Progress.value().State);
      return;
    }
    Done(CallOutcome::NotFound, {});
  };
  attempt(std::move(Call));
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
  auto Call = std::make_shared<Read>();
  Call->Query = ShardRows(Shard).waitingOf(Queue);
  Call->Deadline = Deadline;
  Call->Done = [Done = std::move(Done)](std::optional<store::RowPage> Page) {
    if (Page)
      Done(CallOutcome::Done, Page->Rows.size());
    else
      Done(CallOutcome::NotDone, 0);
  };
  attempt(std::move(Call));
}

} // namespace jayramp::shard
