#pragma once

#include "Jobs/AcceleratorPlace.h"
#include "Jobs/JobSpecification.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

/// Durable state of a job. The rows store the values; the names match
/// jayramp.v1.JobState.
enum class JobRowState {
  Pending,
  Reserved,
  Started,
  Succeeded,
  Failed,
  Cancelled,
  Rejected,
};

/// A row of the table `jobs`.
struct JobRow {
  JobSpecification Specification;
  std::string Key; ///< Idempotency key that the client chose.
  JobRowState State = JobRowState::Pending;
  std::string Reason; ///< Name of a jayramp.v1.Reason, or empty.
  std::string Detail;
  std::string Remedy;
  /// Set in the states Reserved and Started.
  std::vector<AcceleratorPlace> Placement;
  std::uint32_t Attempt = 0;
  /// View version under which the scheduler made the placement.
  std::uint64_t Epoch = 0;
  bool CancelRequested = false;
  std::vector<std::string> FailedWorkers;
  std::uint32_t Failures = 0; ///< Number of failed attempts.
  /// Unix time in milliseconds; determines the order of pending jobs.
  std::int64_t SubmittedMs = 0;
  /// Unix time in milliseconds at which the current attempt started.
  std::int64_t StartedMs = 0;
  std::string Payload; ///< Payload of up to 16 KiB.
  /// Key of the object with a larger payload, or empty.
  std::string PayloadKey;
  std::uint64_t Version = 0; ///< Version of the table row; not serialized.

  auto isFinal() const -> bool { return State >= JobRowState::Succeeded; }

  auto operator==(const JobRow &) const -> bool = default;
};

} // namespace jayramp
