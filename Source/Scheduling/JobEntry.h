#pragma once

#include "Base/Clock.h"
#include "Scheduling/JobProgress.h"
#include "Scheduling/JobSpec.h"
#include "Scheduling/RetryBackoff.h"
#include "Scheduling/StepWork.h"
#include "Scheduling/WaitReason.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jayramp::scheduling {

/// A job with its state in the scheduler. The counts of its tasks are kept with
/// every change, so that a scheduling pass need not walk the tasks.
class JobEntry {
public:
  JobEntry(JobSpec Spec, JobProgress Progress, TimePoint SubmittedAt,
           std::uint64_t Sequence);

  // Commands.

  /// Records that the task's run \p RunNumber occupies a worker.
  auto placeTask(std::uint32_t Step, std::uint32_t Index,
                 std::uint32_t RunNumber, std::string Worker,
                 std::int64_t Incarnation) -> void;
  /// Records that no run of the task occupies a worker any more.
  auto vacateTask(std::uint32_t Step, std::uint32_t Index) -> void;
  auto markTaskDone(std::uint32_t Step, std::uint32_t Index) -> void;
  /// Records that tasks of \p Step, whose turn has come, wait at \p Now. Has
  /// no effect if they have waited since the last start of any of them.
  auto recordWaiting(std::uint32_t Step, TimePoint Now) -> void;
  /// Records that a worker has started a task of \p Step. A placement alone
  /// does not end a wait: the worker may refuse the start.
  auto recordStarted(std::uint32_t Step, std::uint32_t Index) -> void;
  /// Frees what was measured of the work of the steps, which is not needed once
  /// the job is final.
  auto releaseMeasuredWork() -> void {
    MeasuredWork = std::vector<StepWork>(Spec.Steps.size());
  }
  /// Records that tasks of \p Step are held back at \p Now for faster workers.
  /// Has no effect if some have been since all of them were placed last.
  auto recordSpeedWait(std::uint32_t Step, TimePoint Now) -> void {
    Steps[Step].SpeedWaitSince = Steps[Step].SpeedWaitSince.value_or(Now);
  }
  auto recordWaitReason(std::uint32_t Step, WaitReason Reason) -> void {
    Steps[Step].LastWaitReason = Reason;
  }
  /// Records that a start of the task's run \p RunNumber was sent to a worker.
  auto recordStartSent(std::uint32_t Step, std::uint32_t Index,
                       std::uint32_t RunNumber) -> void;

  /// Records that a run of the task ended at \p Now without ever being sent to
  /// its worker.
  auto recordUnsentRun(std::uint32_t Step, std::uint32_t Index,
                       const RetryBackoff::Limits &Delay, TimePoint Now)
      -> void;

  // Queries.

  /// Returns whether all steps that \p Step depends on are done.
  auto isReady(std::uint32_t Step) const -> bool;
  auto isAllDone() const -> bool { return UndoneTasks == 0; }
  auto isDone(std::uint32_t Step) const -> bool {
    return Steps[Step].Undone == 0;
  }
  /// Returns whether a start of a run after \p RunNumber may have been sent for
  /// the task or, if it belongs to a gang, for any member.
  auto mayHaveRunAfter(std::uint32_t Step, std::uint32_t Index,
                       std::uint32_t RunNumber) const -> bool;
  /// Returns the number of tasks of \p Step that are neither done nor placed.
  auto waitingTasks(std::uint32_t Step) const -> std::uint32_t {
    return Steps[Step].Waiting;
  }
  /// Returns the number of tasks of all steps that are neither done nor placed.
  auto waitingTasks() const -> std::uint32_t { return WaitingTasks; }
  /// Returns the number of waiting tasks of \p Step that may be placed at
  /// \p Now: those whose runs were sent lately, or long enough ago were not.
  auto placeableTasks(std::uint32_t Step, TimePoint Now) const -> std::uint32_t;
  /// Returns since when tasks of \p Step have waited, or had waited when all of
  /// them were placed; none if their turn has not come, or if any of them has
  /// started since the wait was recorded.
  auto waitingSince(std::uint32_t Step) const -> std::optional<TimePoint> {
    return Steps[Step].WaitingSince;
  }
  /// Returns since when tasks of \p Step have been held back for faster
  /// workers. Unlike waitingSince(), a start of one of them does not end it.
  auto speedWaitSince(std::uint32_t Step) const -> std::optional<TimePoint> {
    return Steps[Step].SpeedWaitSince;
  }
  /// Returns what the tasks of \p Step wait for; none if they have not waited
  /// long enough to be diagnosed.
  auto waitReason(std::uint32_t Step) const -> std::optional<WaitReason> {
    return Steps[Step].LastWaitReason;
  }
  /// Returns the indices of the first tasks of \p Step that may be placed at
  /// \p Now, at most \p MaxCount.
  auto placeableIndices(std::uint32_t Step, std::uint32_t MaxCount,
                        TimePoint Now) const -> std::vector<std::uint32_t>;

  JobSpec Spec;
  JobProgress Progress;
  TimePoint SubmittedAt;
  std::uint64_t Sequence = 0; ///< Position in the order of submission.
  bool Guaranteed = false;    ///< Within the guarantee of its client account.
  bool OnHold = false;        ///< None of its tasks are placed.
  TimePoint FinishedAt;
  /// No runs are searched that the job could preempt before this time.
  TimePoint NextPreemptionSearch;
  /// No workers are searched that could be held for the job before this time.
  TimePoint NextGangRoomSearch;
  TimePoint NextWaitDiagnosis;    ///< Not diagnosed before this time.
  double CriticalPathSeconds = 0; ///< Estimated duration without waiting.
  double ObjectiveSeconds = 0;    ///< Latency objective.
  std::int64_t TotalGpus = 0; ///< Accelerators that all tasks need together.
  double Work = 0;            ///< Estimated work of all tasks, in core-seconds.
  /// By step: what its runs have shown about its work.
  std::vector<StepWork> MeasuredWork;

private:
  struct StepState {
    std::uint32_t Undone = 0;
    std::uint32_t Waiting = 0; ///< Neither done nor placed.
    /// Since when its tasks have waited; absent if none does or their turn has
    /// not come.
    std::optional<TimePoint> WaitingSince;
    std::optional<WaitReason> LastWaitReason; ///< Since WaitingSince.
    std::optional<TimePoint> SpeedWaitSince;
    /// By task: the highest number of a run whose start may have been sent.
    std::vector<std::uint32_t> SentRuns;
    /// By task: of its runs that were never sent since one was started.
    std::vector<RetryBackoff> UnsentRuns;
    TimePoint LastUnsentDelayEnds; ///< Of all tasks.
  };

  auto addToWaiting(std::uint32_t Step) -> void;
  auto removeFromWaiting(std::uint32_t Step) -> void;
  auto resetWait(std::uint32_t Step) -> void;

  std::vector<StepState> Steps;
  std::uint32_t UndoneTasks = 0;
  std::uint32_t WaitingTasks = 0;
};

} // namespace jayramp::scheduling
