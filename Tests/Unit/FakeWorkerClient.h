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

/// Simulates workers that run tasks under leases. The address of a worker is
/// its name. Thread-safe.
class FakeWorkerClient final : public WorkerClient {
public:
  /// Which message of a call is lost.
  enum class LostMessage {
    Request, ///< The call has no effect.
    Reply,   ///< The call takes effect.
  };

  /// A task that a worker has prepared.
  struct Task {
    std::string Worker;
    TaskOrder Order;
    std::string State;
    TimePoint LeaseExpiresAt;
    TimePoint StartedAt;
    TimePoint EndedAt; ///< Only set once the task has ended.

    auto isLive() const -> bool {
      return State != "stopped" && State != "failed" && State != "finished";
    }
  };

  /// Accelerators of each worker.
  std::uint32_t Accelerators = 2;

  auto setReachable(const std::string &Worker, bool Reachable) -> void {
    std::lock_guard Lock(Mutex);
    if (Reachable)
      UnreachableWorkers.erase(Worker);
    else
      UnreachableWorkers.insert(Worker);
  }
  /// Makes the next call of \p Verb to the worker time out.
  auto loseNextCall(const std::string &Worker, TaskVerb Verb,
                    LostMessage Message) -> void {
    std::lock_guard Lock(Mutex);
    LostCalls[{Worker, Verb}] = Message;
  }
  /// Makes the next \p Verb on the worker fail with \p State.
  auto forceNextState(const std::string &Worker, TaskVerb Verb,
                      std::string State) -> void {
    std::lock_guard Lock(Mutex);
    ForcedStates[{Worker, Verb}] = std::move(State);
  }
  /// Makes all tasks ignore checkpoint calls.
  auto ignoreCheckpoints() -> void {
    std::lock_guard Lock(Mutex);
    CheckpointsIgnored = true;
  }
  /// Makes all workers reject calls of epochs before \p NewEpoch.
  auto raiseEpoch(std::uint64_t NewEpoch) -> void {
    std::lock_guard Lock(Mutex);
    Epoch = std::max(Epoch, NewEpoch);
  }
  /// Ends all live tasks on the worker in \p State.
  auto endTasks(const std::string &Worker, const std::string &State) -> void {
    std::lock_guard Lock(Mutex);
    expireLeases();
    for (auto &Each : Tasks)
      if (Each.Worker == Worker && Each.isLive())
        endTask(Each, State);
  }
  auto finishAllTasks() -> void {
    std::lock_guard Lock(Mutex);
    expireLeases();
    for (auto &Each : Tasks)
      if (Each.isLive())
        endTask(Each, "finished");
  }

  auto tasks() -> std::vector<Task> {
    std::lock_guard Lock(Mutex);
    expireLeases();
    return Tasks;
  }
  /// Returns the number of live tasks of the job that have been started.
  auto runningTaskCount(const std::string &Job) -> std::size_t {
    std::size_t Count = 0;
    for (const auto &Each : tasks())
      Count +=
          Each.Order.Job == Job && Each.isLive() && Each.State != "prepared"
              ? 1
              : 0;
    return Count;
  }
  auto liveTaskCount() -> std::size_t {
    std::size_t Count = 0;
    for (const auto &Each : tasks())
      Count += Each.isLive() ? 1 : 0;
    return Count;
  }
  /// Returns the verbs that the worker has received, in order, except renewals.
  auto receivedVerbs(const std::string &Worker) -> std::vector<TaskVerb> {
    std::lock_guard Lock(Mutex);
    return ReceivedVerbs[Worker];
  }
  auto callCount(TaskVerb Verb) -> int {
    std::lock_guard Lock(Mutex);
    return CallCounts[Verb];
  }

  auto execute(RequestAttempt, AttemptCallback Done) -> void override {
    Done(AttemptNotSent{"not used"});
  }

  auto status(const std::string &Worker, std::uint64_t AnnouncedEpoch,
              Milliseconds) -> Result<WorkerStatus> override {
    std::lock_guard Lock(Mutex);
    if (UnreachableWorkers.contains(Worker))
      return timeoutError(Worker);
    if (AnnouncedEpoch < Epoch)
      return fencedError(Worker);
    Epoch = AnnouncedEpoch;
    expireLeases();
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
    if (UnreachableWorkers.contains(Worker))
      return timeoutError(Worker);
    if (Call.Epoch < Epoch)
      return fencedError(Worker);
    Epoch = Call.Epoch;
    expireLeases();
    ++CallCounts[Call.Verb];
    if (Call.Verb != TaskVerb::Renew)
      ReceivedVerbs[Worker].push_back(Call.Verb);
    auto LostCall = LostCalls.find({Worker, Call.Verb});
    if (LostCall != LostCalls.end() &&
        LostCall->second == LostMessage::Request) {
      LostCalls.erase(LostCall);
      return timeoutError(Worker);
    }
    std::vector<TaskStatus> Replies;
    for (const auto &Order : Call.Tasks)
      Replies.push_back(
          {Order.Task, Order.Job, applyVerb(Worker, Call.Verb, Order), 0});
    if (LostCall != LostCalls.end()) {
      LostCalls.erase(LostCall);
      return timeoutError(Worker);
    }
    return Replies;
  }

private:
  static auto timeoutError(const std::string &Worker) -> Error {
    return Error::make(ErrorKind::Timeout, Worker, "no answer", "repeat");
  }
  static auto fencedError(const std::string &Worker) -> Error {
    return Error::make(ErrorKind::Fenced, Worker, "old epoch", "stop");
  }

  auto findTask(const std::string &Worker, const std::string &Name) -> Task * {
    for (auto Each = Tasks.rbegin(); Each != Tasks.rend(); ++Each)
      if (Each->Worker == Worker && Each->Order.Task == Name)
        return &*Each;
    return nullptr;
  }

  auto applyVerb(const std::string &Worker, TaskVerb Verb,
                 const TaskOrder &Order) -> std::string {
    std::string State;
    if (auto ForcedState = ForcedStates.find({Worker, Verb});
        ForcedState != ForcedStates.end()) {
      State = ForcedState->second;
      ForcedStates.erase(ForcedState);
    }
    auto *Existing = findTask(Worker, Order.Task);
    if (Verb == TaskVerb::Prepare) {
      if (!State.empty())
        return State;
      if (Existing != nullptr && Existing->isLive())
        return Existing->State;
      if (!areFree(Worker, Order.Accelerators))
        return "failed";
      Tasks.push_back({Worker, Order, "prepared", Clock::now() + Order.Lease,
                       TimePoint(), TimePoint()});
      return "prepared";
    }
    if (Existing == nullptr)
      return Verb == TaskVerb::Start ? "failed" : "stopped";
    if (!Existing->isLive())
      return Existing->State;
    if (!State.empty()) {
      endTask(*Existing, State);
      return State;
    }
    switch (Verb) {
    case TaskVerb::Start:
      Existing->State = "running";
      Existing->StartedAt = Clock::now();
      Existing->LeaseExpiresAt = Clock::now() + Order.Lease;
      break;
    case TaskVerb::Renew:
      Existing->LeaseExpiresAt = Clock::now() + Order.Lease;
      break;
    case TaskVerb::Checkpoint:
      if (!CheckpointsIgnored)
        Existing->State = "checkpointed";
      break;
    case TaskVerb::Throttle:
      Existing->State = "throttled";
      break;
    default:
      endTask(*Existing, "stopped");
      break;
    }
    return Existing->State;
  }

  auto areFree(const std::string &Worker,
               const std::vector<std::uint32_t> &Indices) -> bool {
    for (const auto &Each : Tasks)
      if (Each.Worker == Worker && Each.isLive())
        for (auto Index : Each.Order.Accelerators)
          for (auto Other : Indices)
            if (Index == Other)
              return false;
    return true;
  }

  auto endTask(Task &Target, const std::string &State) -> void {
    Target.State = State;
    Target.EndedAt = Clock::now();
  }

  /// Stops the tasks whose leases have expired.
  auto expireLeases() -> void {
    for (auto &Each : Tasks)
      if (Each.isLive() && Clock::now() >= Each.LeaseExpiresAt) {
        Each.State = "stopped";
        Each.EndedAt = Each.LeaseExpiresAt;
      }
  }

  std::mutex Mutex;
  std::vector<Task> Tasks;
  std::set<std::string> UnreachableWorkers;
  std::map<std::pair<std::string, TaskVerb>, LostMessage> LostCalls;
  std::map<std::pair<std::string, TaskVerb>, std::string> ForcedStates;
  std::map<std::string, std::vector<TaskVerb>> ReceivedVerbs;
  std::map<TaskVerb, int> CallCounts;
  std::uint64_t Epoch = 0;
  bool CheckpointsIgnored = false;
};

} // namespace jayramp::test
