#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp::scheduling {

enum class JobState { Pending, Running, Completed, Failed, Cancelled };

inline auto isFinal(JobState State) -> bool {
  return State == JobState::Completed || State == JobState::Failed ||
         State == JobState::Cancelled;
}

/// What must survive the scheduler about one task.
struct TaskProgress {
  std::uint32_t LastRunNumber = 0; ///< Highest run number given out; 0: none.
  bool Done = false;
  std::uint32_t FailureCount = 0; ///< Of a gang: kept with its first task.
  std::uint32_t LastFailedRunNumber =
      0;                  ///< Last run that was counted as a failure.
  std::string Checkpoint; ///< Of a gang: kept with its first task.
  /// Worker on which LastRunNumber may be alive; empty if it is certainly over.
  std::string Worker;
  std::int64_t Incarnation = 0; ///< Of that worker.

  auto operator==(const TaskProgress &) const -> bool = default;
};

/// What must survive the scheduler about one job.
struct JobProgress {
  JobState State = JobState::Pending;
  std::vector<std::vector<TaskProgress>> Steps; ///< By step, then by task.

  auto operator==(const JobProgress &) const -> bool = default;
};

} // namespace jayramp::scheduling
