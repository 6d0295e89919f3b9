#pragma once

#include "Base/Clock.h"
#include "Scheduling/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp::scheduling {

/// Tasks of one shape that are started together or one by one.
struct StepSpec {
  std::uint32_t Count = 1;  ///< Number of tasks.
  Resources Need;           ///< Of each task.
  Milliseconds Estimate{0}; ///< Duration as declared by the client; rough.
  bool Gang = false;        ///< The tasks work only while all of them run.
  bool SameRack = false;    ///< The tasks are slow when spread over racks.
  bool Checkpointing = false;
  std::vector<std::uint32_t> After; ///< Steps that must be done first.
  std::string RequiredLabel;        ///< Empty: any worker.
  std::string DataRack;             ///< Tasks are slow elsewhere; may be empty.
  std::uint32_t MaxPerWorker = 0;   ///< 0: no limit.

  auto operator==(const StepSpec &) const -> bool = default;
};

/// A job as it was accepted, with the policy of its queue at that time.
struct JobSpec {
  std::string Id;
  std::string Queue;
  std::string Tenant;
  std::string Service;        ///< Pool of workers.
  std::uint32_t Priority = 0; ///< 0 is the most urgent.
  std::uint32_t MaxAttempts = 1;
  double Stretch = 1.0; ///< Latency objective as a multiple of the work.
  Milliseconds TargetLatency{0}; ///< Added to the objective.
  std::int64_t AcceptedUnixMs = 0;
  std::string Payload; ///< Handed to the workers unread.
  std::vector<StepSpec> Steps;

  auto operator==(const JobSpec &) const -> bool = default;
};

} // namespace jayramp::scheduling
