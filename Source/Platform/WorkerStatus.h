#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

/// State of a task as reported by its worker.
struct TaskStatus {
  std::string Task;
  std::string Job;
  /// "prepared", "running", "checkpointed", "throttled", "stopped", "finished"
  /// or "failed".
  std::string State;
  /// Accelerator utilisation from 0 to 1, measured some time before the report.
  double Usage = 0;

  auto operator==(const TaskStatus &) const -> bool = default;
};

/// Response of a worker to a status call.
struct WorkerStatus {
  std::string Name;
  bool Leaving = false;
  std::uint64_t Epoch = 0;     ///< Newest epoch that the worker has seen.
  std::uint32_t Slots = 0;     ///< Requests that it can run at the same time.
  std::uint32_t SlotsUsed = 0; ///< Requests that it runs now.
  std::uint32_t Accelerators = 0;
  std::vector<TaskStatus> Tasks;

  auto operator==(const WorkerStatus &) const -> bool = default;
};

} // namespace jayramp
