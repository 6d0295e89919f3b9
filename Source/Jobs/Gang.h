#pragma once

#include "Base/Clock.h"
#include "Platform/TaskCall.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jayramp {

/// Phases of a gang from the reservation of its accelerators to its end.
enum class GangPhase {
  Reserving,  ///< The job row is being written as RESERVED.
  Preparing,  ///< The workers are preparing their tasks.
  Confirming, ///< The job row is being written as STARTED.
  Starting,   ///< The workers are starting their tasks.
  Running,    ///< All tasks have started; their leases are renewed.
  Stopping,   ///< The steps of StopStep are in progress.
};

/// Steps of stopping a gang, in order. If the gang is stopped to reclaim its
/// accelerators, the first step is Checkpoint, otherwise Stop.
enum class StopStep {
  Checkpoint,  ///< The tasks are asked to save a checkpoint.
  Throttle,    ///< The tasks are throttled.
  Stop,        ///< The workers are told to stop the tasks.
  LeaseExpiry, ///< The scheduler waits until the leases have expired.
};

/// The task of a gang on one worker.
struct GangMember {
  std::vector<std::uint32_t> Accelerators;
  std::string TaskState;  ///< State that the worker reported last.
  TimePoint LastReportAt; ///< Time of the worker's last reply.
  /// Latest time at which the task can still run without another renewal.
  TimePoint LeaseExpiresAt;
  bool TaskEnded = false; ///< The worker reported a final state.
};

/// One attempt of a job, as the scheduler of the view manages it.
struct Gang {
  std::string Job;
  std::string Account;
  std::uint32_t Attempt = 0;
  std::string TaskName; ///< Name of the gang's tasks; unique to the attempt.
  Milliseconds LeaseDuration{0};
  GangPhase Phase = GangPhase::Reserving;
  std::map<std::string, GangMember> Members; ///< By worker name.
  std::size_t OutstandingCalls = 0;          ///< Calls without a reply.
  bool StartStepFailed = false; ///< A worker did not prepare or start.
  StopStep CurrentStopStep = StopStep::Stop;
  TimePoint StepDeadline; ///< End of the start or of the current stop step.
  TimePoint NextStopCallAt;
  TimePoint StopStartedAt;
  bool AnyCallSent = false; ///< If false, no worker knows the gang.
};

} // namespace jayramp
