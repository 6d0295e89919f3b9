#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

/// Operations on a task of a gang, as in the path /v1/tasks/VERB of a worker.
enum class TaskVerb { Prepare, Start, Renew, Checkpoint, Throttle, Stop };

/// The task of a gang on one worker and the accelerators that it uses.
struct TaskOrder {
  std::string Task;
  std::string Job;
  std::vector<std::uint32_t> Accelerators; ///< Indices on the worker.
  /// The worker stops the task if the lease is not renewed for this time.
  Milliseconds Lease{0};

  auto operator==(const TaskOrder &) const -> bool = default;
};

/// One operation on several tasks of one worker.
struct TaskCall {
  TaskVerb Verb = TaskVerb::Renew;
  /// Version of the sender's membership view; the worker refuses a call whose
  /// epoch is older than the newest it has seen.
  std::uint64_t Epoch = 0;
  std::vector<TaskOrder> Tasks;

  auto operator==(const TaskCall &) const -> bool = default;
};

} // namespace jayramp
