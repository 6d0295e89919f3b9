#pragma once

#include "Scheduling/RunId.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jayramp::scheduling {

enum class StopReason {
  Preempted,  ///< More urgent work needs its room.
  Stalled,    ///< It made no progress.
  GangBroken, ///< Another member of its gang is gone.
  WorkerLeaves,
  JobFinal, ///< The job was cancelled or has failed.
  StartRefused,
};

/// Name of \p Reason in logs and metrics.
auto toString(StopReason Reason) -> std::string_view;

/// A decision to stop a run, for logs and metrics.
struct StopDecision {
  RunId Run;
  std::string Worker;
  StopReason Reason = StopReason::JobFinal;
  std::string PreemptingJob;         ///< Job that gets the room, if any.
  std::uint32_t ProgressPercent = 0; ///< Progress that the run had made.
};

/// A decision to place tasks together, for logs and metrics.
struct PlacementDecision {
  std::string Job;
  std::uint32_t Step = 0;
  std::uint32_t Run = 0;
  std::size_t Tasks = 0;
  std::size_t Racks = 0;
  double WaitedSeconds = 0; ///< Since the job was submitted.
};

} // namespace jayramp::scheduling
