#pragma once

#include "Scheduling/RunId.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jayramp::scheduling {

enum class StopReason {
  Preempted,  ///< A more urgent job needs the resources.
  Stalled,    ///< The run made no progress.
  GangBroken, ///< Another member of the gang ended or is being stopped.
  WorkerLeaves,
  ZoneClosed, ///< Not known to have started; its zone was closed.
  JobFinal,   ///< The job was cancelled or has failed.
  StartRefused,
  TaskDone, ///< An earlier run of the task is reported to have succeeded.
};

/// Returns the name of \p Reason in logs and metrics.
auto toString(StopReason Reason) -> std::string_view;

/// A decision to stop a run.
struct StopDecision {
  RunId Run;
  std::string Worker;
  StopReason Reason = StopReason::JobFinal;
  std::string PreemptingJob; ///< Job that the run was stopped for, or empty.
  std::uint32_t ProgressPercent = 0; ///< Progress of the run so far.
};

/// Why tasks were placed on workers of a certain speed.
enum class SpeedChoice {
  Deadline, ///< On slower workers with room the tasks would have been late.
  Slack,    ///< On slow workers, because the tasks have time.
  Late,     ///< No workers with room were fast enough.
};

/// Returns the name of \p Choice in logs.
auto toString(SpeedChoice Choice) -> std::string_view;

/// A decision to place the tasks of a gang, or a single task; used for logs
/// and metrics.
struct PlacementDecision {
  std::string Job;
  std::uint32_t Step = 0;
  std::uint32_t Run = 0;
  std::size_t Tasks = 0;    ///< Number of tasks that were placed.
  std::size_t Racks = 0;    ///< Number of racks that the tasks are spread over.
  double WaitedSeconds = 0; ///< Time since the job was submitted.
  /// Absent if the speeds of workers made no difference.
  std::optional<SpeedChoice> Speed = std::nullopt;
  /// Expected time on the slowest of the workers, as a multiple of the time on
  /// a typical one.
  double TimeFactor = 1;
};

} // namespace jayramp::scheduling
