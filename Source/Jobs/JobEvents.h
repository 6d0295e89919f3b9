#pragma once

#include "Base/Clock.h"
#include "Jobs/AcceleratorPlace.h"
#include "Jobs/JobSpecification.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

enum class TaskResult { Finished, Failed };

/// End of the part of a gang that ran on one worker.
struct TaskEnd {
  std::string Job;
  std::uint32_t Attempt = 0;
  std::string Worker;
  TaskResult Result = TaskResult::Finished;

  auto operator==(const TaskEnd &) const -> bool = default;
};

/// Lagging usage of a job as a worker reported it.
struct UsageReport {
  std::string Job;
  std::string Worker;
  TimePoint ObservedAt;
  double Usage = 0; ///< 0 to 1.

  auto operator==(const UsageReport &) const -> bool = default;
};

/// A job row from which the scheduler's state is rebuilt.
struct RestoredJob {
  JobSpecification Specification;
  std::uint32_t Attempt = 0; ///< Attempts started so far.
  /// Placement of a reserved or started job; empty for a pending one.
  std::vector<AcceleratorPlace> Placement;
  TimePoint SubmittedAt;
  TimePoint StartedAt; ///< Of the current attempt.
  std::vector<std::string> FailedWorkers;
  std::uint32_t Failures = 0;

  auto operator==(const RestoredJob &) const -> bool = default;
};

} // namespace jayramp
