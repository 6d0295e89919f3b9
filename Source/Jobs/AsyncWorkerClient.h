#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Platform/TaskCall.h"
#include "Platform/WorkerStatus.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jayramp {

class EventQueue;
class WorkerClient;

/// Calls workers on threads of its own; the results arrive through an event
/// queue. The destructor blocks for calls in progress.
class AsyncWorkerClient {
public:
  using ControlDone = std::function<void(Result<std::vector<TaskStatus>>)>;
  using StatusDone = std::function<void(Result<WorkerStatus>)>;

  AsyncWorkerClient(WorkerClient &Workers, EventQueue &Events,
                    Milliseconds Timeout, std::size_t Threads);
  ~AsyncWorkerClient();
  AsyncWorkerClient(const AsyncWorkerClient &) = delete;
  auto operator=(const AsyncWorkerClient &) -> AsyncWorkerClient & = delete;

  auto control(std::string Address, TaskCall Call, ControlDone Done) -> void;
  auto status(std::string Address, std::uint64_t Epoch, StatusDone Done)
      -> void;

private:
  class Pool;

  WorkerClient &Workers;
  EventQueue &Events;
  Milliseconds Timeout;
  std::unique_ptr<Pool> Threads;
};

} // namespace jayramp
