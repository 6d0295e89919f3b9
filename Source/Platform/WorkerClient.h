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

/// Interface for calls to workers.
class WorkerClient {
public:
  using AttemptCallback = std::function<void(AttemptOutcome)>;

  virtual ~WorkerClient() = default;

  /// Sends one attempt. \p Done is called exactly once, on any thread and at
  /// the latest when the timeout of the attempt has passed.
  virtual auto execute(RequestAttempt Attempt, AttemptCallback Done)
      -> void = 0;

  /// Returns the state of the worker. Blocks. The worker records \p Epoch, the
  /// version of the caller's membership view, and refuses calls with an older
  /// one from then on. Errors: Unavailable if nothing was sent, Timeout if the
  /// epoch may have been recorded, Fenced if the worker has seen a newer epoch,
  /// Rejected for another 4xx status, InvalidArgument for a malformed address.
  virtual auto status(const std::string &WorkerAddress, std::uint64_t Epoch,
                      Milliseconds Timeout) -> Result<WorkerStatus> = 0;

  /// Performs one operation on several tasks of the worker and returns their
  /// states after it, in the order of the call. Blocks. Errors as for status().
  virtual auto control(const std::string &WorkerAddress, const TaskCall &Call,
                       Milliseconds Timeout)
      -> Result<std::vector<TaskStatus>> = 0;
};

} // namespace jayramp
