#pragma once

#include "Base/Clock.h"
#include "Jobs/JobEvents.h"
#include "Jobs/JobSpecification.h"
#include "Jobs/WaitReason.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jayramp {

/// Position of a job in the order of submission, from 1.
using JobKey = std::int64_t;

enum class JobPhase {
  Pending,    ///< Waits for a placement.
  Reclaiming, ///< Has a reserved placement that other gangs still leave.
  Running,    ///< StartGang was decided.
  Stopping, ///< Told to stop; holds its accelerators until recordGangStopped().
};

/// State of one job that is not final.
struct JobRecord {
  JobKey Key = 0;
  JobSpecification Specification;
  JobPhase Phase = JobPhase::Pending;
  std::uint32_t Attempt = 0; ///< Placements so far.
  /// Accelerator numbers in the topology, held or reserved.
  std::vector<std::uint32_t> Accelerators;
  /// Identifier of the guaranteed shape that each accelerator uses, -1 for
  /// none.
  std::vector<std::int32_t> GuaranteeUnits;
  bool Guaranteed = false;        ///< Not reclaimable.
  std::int64_t StartSequence = 0; ///< Order of placements; higher is younger.
  TimePoint SubmittedAt;
  TimePoint StartedAt;
  std::optional<TimePoint> BlockedSince; ///< First failed try to place it.
  std::set<std::string> FailedWorkers;
  std::uint32_t Failures = 0;
  std::set<std::uint32_t> FinishedWorkers; ///< Of this attempt.
  bool CancelRequested = false;
  WaitReason CurrentWaitReason = WaitReason::None;
  std::optional<UsageReport> LastUsage;
};

} // namespace jayramp
