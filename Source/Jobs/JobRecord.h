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

/// Key of a job in the scheduler's maps: its position in the order of
/// submission, from 1.
using JobKey = std::int64_t;

enum class JobPhase {
  Pending,    ///< Waiting for a placement.
  Reclaiming, ///< Waiting for gangs on its reserved placement to stop.
  Running,    ///< A StartGang decision was returned.
  Stopping,   ///< Being stopped; holds accelerators until recordGangStopped().
};

/// The scheduler's state of one job that has not ended.
struct JobRecord {
  JobKey Key = 0;
  JobSpecification Specification;
  JobPhase Phase = JobPhase::Pending;
  std::uint32_t Attempt = 0; ///< Number of placements so far.
  /// Indices in the topology of the accelerators that the job holds or
  /// reserves.
  std::vector<std::uint32_t> Accelerators;
  /// For each accelerator, the id of the guaranteed shape that it belongs to,
  /// or -1 if none.
  std::vector<std::int32_t> GuaranteedShapeIds;
  bool Guaranteed = false;        ///< If true, the gang cannot be reclaimed.
  std::int64_t StartSequence = 0; ///< Higher for later placements.
  TimePoint SubmittedAt;
  TimePoint StartedAt;
  std::optional<TimePoint> BlockedSince; ///< First failed placement.
  std::set<std::string> FailedWorkers;
  std::uint32_t Failures = 0; ///< Number of failed attempts.
  /// Workers whose task of the current attempt has finished, as indices in the
  /// topology.
  std::set<std::uint32_t> FinishedWorkers;
  bool CancelRequested = false;
  /// Why the job is not running, as of the last decision.
  WaitReason CurrentWaitReason = WaitReason::None;
  std::optional<UsageReport> LastUsage;
};

} // namespace jayramp
