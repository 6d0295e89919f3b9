#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp::scheduling {

enum class JobState { Pending, Running, Completed, Failed, Cancelled };

/// Returns whether a job in \p State has ended and cannot change any more.
inline auto isFinal(JobState State) -> bool {
  return State == JobState::Completed || State == JobState::Failed ||
         State == JobState::Cancelled;
}

/// The state of one task that must survive a failover of the scheduler.
struct TaskProgress {
  std::uint32_t LastRunNumber = 0; ///< Highest run number assigned; 0: none.
  bool Done = false;
  /// Number of failed runs. For a gang, stored with its first task only.
  std::uint32_t FailureCount = 0;
  /// Number of the last run that was counted in FailureCount; 0: none. For a
  /// gang, stored with its first task only.
  std::uint32_t LastFailedRunNumber = 0;
  /// Latest checkpoint. For a gang, stored with its first task only.
  std::string Checkpoint;
  /// Worker on which the last run may still be alive; empty if that run has
  /// certainly ended.
  std::string Worker;
  std::int64_t Incarnation = 0; ///< Incarnation of that worker.

  auto operator==(const TaskProgress &) const -> bool = default;
};

/// The state of one job that must survive a failover of the scheduler.
struct JobProgress {
  JobState State = JobState::Pending;
  std::vector<std::vector<TaskProgress>> Steps; ///< By step, then by task.

  auto operator==(const JobProgress &) const -> bool = default;
};

} // namespace jayramp::scheduling
