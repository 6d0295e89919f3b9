#pragma once

#include "Base/Clock.h"
#include "Scheduling/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp::scheduling {

/// Tasks with equal requirements, started either together as a gang or
/// independently of each other.
struct StepSpec {
  std::uint32_t Count = 1;  ///< Number of tasks.
  Resources Need;           ///< Resources of each task.
  Milliseconds Estimate{0}; ///< Rough duration, as declared by the client.
  bool Gang = false;     ///< The tasks make progress only if all of them run.
  bool SameRack = false; ///< The tasks run slowly if spread over racks.
  bool Checkpointing = false;
  std::vector<std::uint32_t> After; ///< Indices of steps that must end first.
  std::string RequiredLabel;        ///< Worker label; empty: any worker.
  /// Rack that holds the input data; tasks run slowly elsewhere. Empty: none.
  std::string DataRack;
  std::uint32_t MaxPerWorker = 0; ///< Most tasks on one worker; 0: no limit.

  auto operator==(const StepSpec &) const -> bool = default;
};

/// A job as it was accepted, with the policy of its queue at that time.
struct JobSpec {
  std::string Id;
  std::string Queue;
  std::string Tenant;
  std::string Service;        ///< Worker pool that runs the job.
  std::uint32_t Priority = 0; ///< 0 is the most urgent.
  std::uint32_t MaxAttempts = 1;
  /// Latency objective as a multiple of the estimated duration.
  double Stretch = 1.0;
  Milliseconds TargetLatency{0}; ///< Constant part of the latency objective.
  std::int64_t AcceptedUnixMs = 0;
  std::string Payload; ///< Opaque data that is passed on to the workers.
  std::vector<StepSpec> Steps;

  /// Largest number of tasks in all steps: the progress of all tasks must fit
  /// into one row of the store.
  static constexpr std::uint32_t MaxTasks = 1000;

  /// A result that is later than this multiple of the latency objective has no
  /// value for the client.
  static constexpr double MaxLatenessFactor = 3.0;

  /// Returns the estimated duration of the critical path through the steps.
  auto criticalPath() const -> Milliseconds;
  /// Returns the latency objective.
  auto objective() const -> Milliseconds;
  /// Returns the time from the submission after which the result has no value
  /// for the client.
  auto longestUsefulTime() const -> Milliseconds;
  /// Returns whether the number of tasks is within MaxTasks and every step
  /// depends only on earlier ones.
  auto isWellFormed() const -> bool;

  auto operator==(const JobSpec &) const -> bool = default;
};

} // namespace jayramp::scheduling
