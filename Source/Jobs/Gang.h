#pragma once

#include "Base/Clock.h"
#include "Platform/TaskCall.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jayramp {

enum class GangPhase {
  Reserving,  ///< Until the row is durable as RESERVED.
  Preparing,  ///< Until every worker has prepared its task.
  Confirming, ///< Until the row is durable as STARTED.
  Starting,   ///< Until every worker has started its task.
  Running,
  Stopping,
};

/// Steps of a stop; a reclaim begins with Checkpoint, others with Stop.
enum class StopStep { Checkpoint, Throttle, Stop, LeaseEnd };

/// The task of a gang on one worker.
struct GangMember {
  std::vector<std::uint32_t> Accelerators;
  std::string State; ///< As the worker reported it last.
  TimePoint LastAlive;
  /// The task cannot run after this time unless its lease is renewed.
  TimePoint LeaseUntil;
  bool Ended = false; ///< The worker reported the end of the task.
};

/// One attempt of a job as its scheduler carries it out.
struct Gang {
  std::string Job;
  std::string Account;
  std::uint32_t Attempt = 0;
  std::string Task; ///< Name of its tasks; differs between attempts.
  Milliseconds Lease{0};
  GangPhase Phase = GangPhase::Reserving;
  std::map<std::string, GangMember> Members; ///< By worker.
  std::size_t Outstanding = 0;               ///< Calls of the current step.
  bool StepFailed = false;
  StopStep Step = StopStep::Stop;
  TimePoint StepEnd;
  TimePoint NextOrder;
  TimePoint StopBegan;
  bool AnyCallMade = false; ///< False: no worker knows the gang.
};

} // namespace jayramp
