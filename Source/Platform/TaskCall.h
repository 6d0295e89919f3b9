#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

/// Steps of a task on a worker.
enum class TaskVerb { Prepare, Start, Renew, Checkpoint, Throttle, Stop };

/// One task of a gang on one worker.
struct TaskOrder {
  std::string Task;
  std::string Job;
  std::vector<std::uint32_t> Accelerators;
  Milliseconds Lease{0};

  auto operator==(const TaskOrder &) const -> bool = default;
};

/// A step for several tasks of one worker.
struct TaskCall {
  TaskVerb Verb = TaskVerb::Renew;
  std::uint64_t Epoch = 0;
  std::vector<TaskOrder> Tasks;

  auto operator==(const TaskCall &) const -> bool = default;
};

} // namespace jayramp
