#pragma once

#include "Scheduling/JobEntry.h"
#include "Scheduling/SpeedPreference.h"
#include "Scheduling/WaitReason.h"

#include <cstdint>
#include <optional>

namespace jayramp::scheduling {

struct WorkerEntry;

/// How a job stands to its latency objective. Jobs of equal priority are placed
/// in this order.
enum class Lateness {
  OnTime,  ///< The job can still meet the objective.
  Late,    ///< The job will miss the objective.
  TooLate, ///< The result has no value for the client any more.
};

/// Tasks with equal requirements that wait: all tasks of a gang, which are
/// placed together, or tasks of a step that are placed one by one.
struct TaskGroup {
  JobEntry *Job = nullptr;
  std::uint32_t Step = 0;
  std::uint32_t TaskCount = 1;
  Lateness JobLateness = Lateness::OnTime;
  bool StaysInRack = false; ///< It is placed in one rack or not at all.
  Milliseconds TaskTime{0}; ///< Expected time of a task on a typical worker.
  /// Time in which the tasks should end; meaningless while speeds are unknown.
  Milliseconds TimeLeft{0};
  SpeedPreference Speeds;   ///< Order in which speed classes are used.
  SpeedRange AllowedSpeeds; ///< Other workers are not used.
  /// Why the pass does not look for workers for the group; absent if it does.
  std::optional<WaitReason> NotTried = std::nullopt;

  auto spec() const -> const StepSpec & { return Job->Spec.Steps[Step]; }
  /// Returns the number of tasks that must be placed together.
  auto unitSize() const -> std::uint32_t { return spec().Gang ? TaskCount : 1; }
  /// Returns whether \p Worker belongs to the pool of the job and has the label
  /// that the tasks require.
  auto mayRunOn(const WorkerEntry &Worker) const -> bool;
  /// Returns how many of the tasks one worker may hold.
  auto workerLimit() const -> std::uint32_t;
  /// Returns how many more of the tasks the per-worker limit allows on
  /// \p Worker.
  auto remainingWorkerLimit(const WorkerEntry &Worker) const -> std::uint32_t;
};

} // namespace jayramp::scheduling
