#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Platform/AttemptOutcome.h"
#include "Platform/WorkerStatus.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jayramp {

struct RequestAttempt;
struct TaskCall;

/// Port to the workers.
class WorkerClient {
public:
  using AttemptCallback = std::function<void(AttemptOutcome)>;

  virtual ~WorkerClient() = default;

  /// Sends one attempt; \p Done is called exactly once, on any thread, at the
  /// latest when the attempt's timeout has passed.
  virtual auto execute(RequestAttempt Attempt, AttemptCallback Done)
      -> void = 0;

  /// Asks for the worker's state; blocks. \p Epoch is announced to the worker.
  /// Errors: Unavailable, Timeout, Fenced.
  virtual auto status(const std::string &WorkerAddress, std::uint64_t Epoch,
                      Milliseconds Timeout) -> Result<WorkerStatus> = 0;

  /// Carries out one step for tasks; blocks. Errors as for status().
  virtual auto control(const std::string &WorkerAddress, const TaskCall &Call,
                       Milliseconds Timeout)
      -> Result<std::vector<TaskStatus>> = 0;
};

} // namespace jayramp
