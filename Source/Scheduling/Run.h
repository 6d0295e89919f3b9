#pragma once

#include "Base/Clock.h"
#include "Scheduling/RunId.h"

#include <cstdint>
#include <string>

namespace jayramp::scheduling {

/// How a worker says that a run ended.
enum class RunOutcome {
  Succeeded,
  Failed,
  Stopped,
  LeaseExpired,
  GangBroken,     ///< Another member of the gang ended.
  GangIncomplete, ///< The other members did not arrive in time.
};

enum class RunPhase {
  Assigned, ///< Placed; the worker has not confirmed the start.
  Started,
  Stopping, ///< Counts as running until its end is listed.
};

/// A run that may be alive on a worker.
struct Run {
  RunId Id;
  std::string Worker;
  std::int64_t Incarnation = 0; ///< Of the worker when the run was assigned.
  RunPhase Phase = RunPhase::Assigned;
  TimePoint AssignedAt;
  TimePoint StartedAt;
  std::uint32_t ProgressPercent = 0; ///< Progress as last listed.
  TimePoint LastProgressAt;          ///< When ProgressPercent last changed.
  TimePoint LastReportAt;            ///< When its worker last listed it.
};

} // namespace jayramp::scheduling
