#pragma once

#include "Jobs/AcceleratorPlace.h"
#include "Jobs/JobSpecification.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

/// Durable state of a job; the names match jayramp.v1.JobState.
enum class JobRowState {
  Pending,
  Reserved,
  Started,
  Succeeded,
  Failed,
  Cancelled,
  Rejected,
};

/// One row of the table `jobs`.
struct JobRow {
  JobSpecification Specification;
  std::string Key; ///< Chosen by the caller.
  JobRowState State = JobRowState::Pending;
  std::string Reason; ///< Name of a jayramp.v1.Reason, or empty.
  std::string Detail;
  std::string Remedy;
  std::vector<AcceleratorPlace> Placement; ///< Reserved or started only.
  std::uint32_t Attempt = 0;
  /// View version of the scheduler that made the placement.
  std::uint64_t Epoch = 0;
  bool CancelRequested = false;
  std::vector<std::string> FailedWorkers;
  std::uint32_t Failures = 0;
  std::int64_t SubmittedMs = 0; ///< Unix time; only for the order of jobs.
  std::int64_t StartedMs = 0;
  std::string Payload;       ///< Up to 16 KiB.
  std::string PayloadKey;    ///< Object that holds a larger payload, or empty.
  std::uint64_t Version = 0; ///< Of the table row; not part of its text.

  auto isFinal() const -> bool { return State >= JobRowState::Succeeded; }

  auto operator==(const JobRow &) const -> bool = default;
};

} // namespace jayramp
