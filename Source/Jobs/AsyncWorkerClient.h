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

/// Calls workers from a thread pool without blocking the caller. The callbacks
/// are posted to an event queue with the result of WorkerClient::control() or
/// WorkerClient::status().
class AsyncWorkerClient {
public:
  using ControlCallback = std::function<void(Result<std::vector<TaskStatus>>)>;
  using StatusCallback = std::function<void(Result<WorkerStatus>)>;

  /// The references must outlive the client. \p Timeout applies to each call.
  AsyncWorkerClient(WorkerClient &Workers, EventQueue &Events,
                    Milliseconds Timeout, std::size_t Threads);
  /// Waits for calls in progress; discards those that have not begun.
  ~AsyncWorkerClient();
  AsyncWorkerClient(const AsyncWorkerClient &) = delete;
  auto operator=(const AsyncWorkerClient &) -> AsyncWorkerClient & = delete;

  auto control(std::string Address, TaskCall Call, ControlCallback OnDone)
      -> void;
  auto status(std::string Address, std::uint64_t Epoch, StatusCallback OnDone)
      -> void;

private:
  class Pool;

  WorkerClient &Workers;
  EventQueue &Events;
  Milliseconds Timeout;
  std::unique_ptr<Pool> Threads;
};

} // namespace jayramp
