#pragma once

#include "Platform/RequestAttempt.h"
#include "Platform/TaskCall.h"
#include "Platform/WorkerClient.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jayramp::test {

/// Workers in memory that run tasks under leases. A worker's address is its
/// name.
class FakeWorkerClient final : public WorkerClient {
public:
  struct Task {
    std::string Worker;
    TaskOrder Order;
    std::string State;
    TimePoint LeaseUntil;
    TimePoint StartedAt;
    TimePoint EndedAt; ///< Only valid once it has ended.

    auto live() const -> bool {
      return State != "stopped" && State != "failed" && State != "finished";
    }
  };

  std::uint32_t Accelerators = 2;

  auto setReachable(const std::string &Worker, bool Reachable) -> void {
    std::lock_guard Lock(Mutex);
    if (Reachable)
      Unreachable.erase(Worker);
    else
      Unreachable.insert(Worker);
  }
  /// The next call of \p Verb to the worker fails; \p Applied: it takes effect
  /// and only its answer is lost.
  auto loseNext(const std::string &Worker, TaskVerb Verb, bool Applied)
      -> void {
    std::lock_guard Lock(Mutex);
    Lost[{Worker, Verb}] = Applied;
  }
  /// The next task of \p Verb on the worker answers \p State.
  auto answerNext(const std::string &Worker, TaskVerb Verb, std::string State)
      -> void {
    std::lock_guard Lock(Mutex);
    Forced[{Worker, Verb}] = std::move(State);
  }
  auto ignoreCheckpoint() -> void {
    std::lock_guard Lock(Mutex);
    IgnoresCheckpoint = true;
  }
  auto raiseEpoch(std::uint64_t Seen) -> void {
    std::lock_guard Lock(Mutex);
    Epoch = std::max(Epoch, Seen);
  }
  /// All tasks on the worker end.
  auto endTasks(const std::string &Worker, const std::string &State) -> void {
    std::lock_guard Lock(Mutex);
    expire();
    for (auto &Each : Tasks)
      if (Each.Worker == Worker && Each.live())
        end(Each, State);
  }
  auto finishAll() -> void {
    std::lock_guard Lock(Mutex);
    expire();
    for (auto &Each : Tasks)
      if (Each.live())
        end(Each, "finished");
  }

  auto tasks() -> std::vector<Task> {
    std::lock_guard Lock(Mutex);
    expire();
    return Tasks;
  }
  /// Live tasks of a job that have been started.
  auto running(const std::string &Job) -> std::size_t {
    std::size_t Count = 0;
    for (const auto &Each : tasks())
      Count += Each.Order.Job == Job && Each.live() && Each.State != "prepared"
                   ? 1
                   : 0;
    return Count;
  }
  auto live() -> std::size_t {
    std::size_t Count = 0;
    for (const auto &Each : tasks())
      Count += Each.live() ? 1 : 0;
    return Count;
  }
  /// Steps that a worker has received, in order, without renewals.
  auto verbs(const std::string &Worker) -> std::vector<TaskVerb> {
    std::lock_guard Lock(Mutex);
    return Verbs[Worker];
  }
  auto calls(TaskVerb Verb) -> int {
    std::lock_guard Lock(Mutex);
    return Calls[Verb];
  }

  auto execute(RequestAttempt, AttemptDone Done) -> void override {
    Done(AttemptNotSent{"not used"});
  }

  auto status(const std::string &Worker, std::uint64_t Announced, Milliseconds)
      -> Result<WorkerStatus> override {
    std::lock_guard Lock(Mutex);
    if (Unreachable.contains(Worker))
      return unreachable(Worker);
    if (Announced < Epoch)
      return fenced(Worker);
    Epoch = Announced;
    expire();
    WorkerStatus Status;
    Status.Name = Worker;
    Status.Accelerators = Accelerators;
    for (const auto &Each : Tasks)
      if (Each.Worker == Worker)
        Status.Tasks.push_back(
            {Each.Order.Task, Each.Order.Job, Each.State, 0});
    return Status;
  }

  auto control(const std::string &Worker, const TaskCall &Call, Milliseconds)
      -> Result<std::vector<TaskStatus>> override {
    std::lock_guard Lock(Mutex);
    if (Unreachable.contains(Worker))
      return unreachable(Worker);
    if (Call.Epoch < Epoch)
      return fenced(Worker);
    Epoch = Call.Epoch;
    expire();
    ++Calls[Call.Verb];
    if (Call.Verb != TaskVerb::Renew)
      Verbs[Worker].push_back(Call.Verb);
    auto Loss = Lost.find({Worker, Call.Verb});
    if (Loss != Lost.end() && !Loss->second) {
      Lost.erase(Loss);
      return unreachable(Worker);
    }
    std::vector<TaskStatus> Answer;
    for (const auto &Order : Call.Tasks)
      Answer.push_back(
          {Order.Task, Order.Job, apply(Worker, Call.Verb, Order), 0});
    if (Loss != Lost.end()) {
      Lost.erase(Loss);
      return unreachable(Worker);
    }
    return Answer;
  }

private:
  static auto unreachable(const std::string &Worker) -> Error {
    return Error::make(ErrorKind::Timeout, Worker, "no answer", "repeat");
  }
  static auto fenced(const std::string &Worker) -> Error {
    return Error::make(ErrorKind::Fenced, Worker, "old epoch", "stop");
  }

  auto find(const std::string &Worker, const std::string &Name) -> Task * {
    for (auto Each = Tasks.rbegin(); Each != Tasks.rend(); ++Each)
      if (Each->Worker == Worker && Each->Order.Task == Name)
        return &*Each;
    return nullptr;
  }

  auto apply(const std::string &Worker, TaskVerb Verb, const TaskOrder &Order)
      -> std::string {
    std::string State;
    if (auto Found = Forced.find({Worker, Verb}); Found != Forced.end()) {
      State = Found->second;
      Forced.erase(Found);
    }
    auto *Known = find(Worker, Order.Task);
    if (Verb == TaskVerb::Prepare) {
      if (!State.empty())
        return State;
      if (Known != nullptr && Known->live())
        return Known->State;
      if (!isFree(Worker, Order.Accelerators))
        return "failed";
      Tasks.push_back({Worker, Order, "prepared", Clock::now() + Order.Lease,
                       TimePoint(), TimePoint()});
      return "prepared";
    }
    if (Known == nullptr)
      return Verb == TaskVerb::Start ? "failed" : "stopped";
    if (!Known->live())
      return Known->State;
    if (!State.empty()) {
      end(*Known, State);
      return State;
    }
    switch (Verb) {
    case TaskVerb::Start:
      Known->State = "running";
      Known->StartedAt = Clock::now();
      Known->LeaseUntil = Clock::now() + Order.Lease;
      break;
    case TaskVerb::Renew:
      Known->LeaseUntil = Clock::now() + Order.Lease;
      break;
    case TaskVerb::Checkpoint:
      if (!IgnoresCheckpoint)
        Known->State = "checkpointed";
      break;
    case TaskVerb::Throttle:
      Known->State = "throttled";
      break;
    default:
      end(*Known, "stopped");
      break;
    }
    return Known->State;
  }

  auto isFree(const std::string &Worker,
              const std::vector<std::uint32_t> &Wanted) -> bool {
    for (const auto &Each : Tasks)
      if (Each.Worker == Worker && Each.live())
        for (auto Index : Each.Order.Accelerators)
          for (auto Other : Wanted)
            if (Index == Other)
              return false;
    return true;
  }

  auto end(Task &Target, const std::string &State) -> void {
    Target.State = State;
    Target.EndedAt = Clock::now();
  }

  auto expire() -> void {
    for (auto &Each : Tasks)
      if (Each.live() && Clock::now() >= Each.LeaseUntil) {
        Each.State = "stopped";
        Each.EndedAt = Each.LeaseUntil;
      }
  }

  std::mutex Mutex;
  std::vector<Task> Tasks;
  std::set<std::string> Unreachable;
  std::map<std::pair<std::string, TaskVerb>, bool> Lost;
  std::map<std::pair<std::string, TaskVerb>, std::string> Forced;
  std::map<std::string, std::vector<TaskVerb>> Verbs;
  std::map<TaskVerb, int> Calls;
  std::uint64_t Epoch = 0;
  bool IgnoresCheckpoint = false;
};

} // namespace jayramp::test
