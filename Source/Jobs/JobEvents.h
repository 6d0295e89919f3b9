#pragma once

#include "Base/Clock.h"
#include "Jobs/AcceleratorPlace.h"
#include "Jobs/JobSpecification.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

/// Whether a task succeeded.
enum class TaskResult { Finished, Failed };

/// Reports that the task of a gang on one worker has ended.
struct TaskEnd {
  std::string Job;
  std::uint32_t Attempt = 0;
  std::string Worker;
  TaskResult Result = TaskResult::Finished;

  auto operator==(const TaskEnd &) const -> bool = default;
};

/// Accelerator usage of a job on one worker, measured before the report
/// arrives.
struct UsageReport {
  std::string Job;
  std::string Worker;
  TimePoint ObservedAt;
  double Usage = 0; ///< Share of the accelerators, 0 to 1.

  auto operator==(const UsageReport &) const -> bool = default;
};

/// A job read from its row, with which a new scheduler rebuilds its state.
struct RestoredJob {
  JobSpecification Specification;
  std::uint32_t Attempt = 0; ///< Number of attempts so far.
  /// Placement of a reserved or started job; empty for a pending one.
  std::vector<AcceleratorPlace> Placement;
  TimePoint SubmittedAt;
  TimePoint StartedAt; ///< Start of the current attempt.
  std::vector<std::string> FailedWorkers;
  std::uint32_t Failures = 0; ///< Number of failed attempts.

  auto operator==(const RestoredJob &) const -> bool = default;
};

} // namespace jayramp
