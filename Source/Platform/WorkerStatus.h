#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

/// A task as its worker reports it.
struct TaskStatus {
  std::string Task;
  std::string Job;
  /// prepared, running, checkpointed, throttled, stopped, finished or failed.
  std::string State;
  double Usage = 0; ///< Lagging, 0 to 1.

  auto operator==(const TaskStatus &) const -> bool = default;
};

/// Answer of a worker to a status call.
struct WorkerStatus {
  std::string Name;
  bool Leaving = false;
  std::uint64_t Epoch = 0; ///< Newest epoch that the worker has seen.
  std::uint32_t Slots = 0;
  std::uint32_t SlotsUsed = 0;
  std::uint32_t Accelerators = 0;
  std::vector<TaskStatus> Tasks;

  auto operator==(const WorkerStatus &) const -> bool = default;
};

} // namespace jayramp
