#pragma once

#include "Base/Clock.h"
#include "Scheduling/RunId.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jayramp::scheduling {

class JobEntry;

/// How a run ended, as reported by its worker.
enum class RunOutcome {
  Succeeded,
  Failed,
  Stopped,
  LeaseExpired,
  GangBroken,     ///< Another member of the gang ended.
  GangIncomplete, ///< The other members did not start in time.
};

enum class RunPhase {
  Assigned, ///< Placed; the worker has not confirmed the start.
  Started,
  Stopping, ///< Occupies its resources until the worker reports its end.
};

/// The progress of a run at some time.
struct ProgressMark {
  std::uint32_t Percent = 0;
  TimePoint At;
};

/// A run that may be alive on a worker.
struct Run {
  RunId Id;
  JobEntry *Job = nullptr; ///< Its job, which is kept as long as the run.
  std::string Worker;
  std::int64_t Incarnation = 0; ///< Of the worker when the run was assigned.
  RunPhase Phase = RunPhase::Assigned;
  TimePoint AssignedAt;
  TimePoint StartedAt;
  std::uint32_t ProgressPercent = 0; ///< Latest progress that was reported.
  TimePoint LastProgressAt;          ///< When ProgressPercent last changed.
  /// When the worker last reported the state of its runs, or StartedAt before
  /// the first such report.
  TimePoint LastReportAt;
  /// Assigned by this owner, without a checkpoint to resume from.
  bool IsFresh = false;
  /// Where the next measurement of the run's speed begins, if its progress is
  /// known there.
  std::optional<ProgressMark> MeasuredFrom = std::nullopt;
  bool IsMeasured = false; ///< A part of the run was measured.
};

} // namespace jayramp::scheduling
