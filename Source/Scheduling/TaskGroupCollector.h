#pragma once

#include "Base/Clock.h"
#include "Scheduling/Resources.h"
#include "Scheduling/TaskGroup.h"

#include <cstdint>
#include <vector>

namespace jayramp::scheduling {

class CandidateWorkers;
class JobEntry;
class JobTimeEstimate;
class ShardScheduler;

/// Collects the tasks that wait in the order in which a placement pass tries
/// them: by priority, guarantee, lateness and, while there is not room for all
/// of them, by what their accounts have had.
class TaskGroupCollector {
public:
  TaskGroupCollector(ShardScheduler &Scheduler,
                     const CandidateWorkers &Candidates, TimePoint Now);

  /// Returns the groups whose turn has come, and records since when they wait
  /// and whether accounts compete for room.
  auto collect() -> std::vector<TaskGroup>;

private:
  /// A job with tasks that wait, and what decides its turn.
  struct WaitingJob {
    std::uint32_t Priority = 0;
    bool HasNoGuarantee = true;
    Lateness JobLateness = Lateness::OnTime;
    /// What its account uses and waits for ahead of it, in core equivalents;
    /// 0 if there is room for all jobs.
    double AccountUse = 0;
    JobEntry *Job = nullptr;
  };

  static auto goesFirst(const WaitingJob &Left, const WaitingJob &Right)
      -> bool;
  /// Returns what the waiting tasks whose turn has come need together.
  static auto waitingNeed(const JobEntry &Job) -> Resources;
  auto isRoomForAll(const std::vector<WaitingJob> &Jobs) const -> bool;
  /// Puts the jobs of the account that has had least first where nothing else
  /// decides between them. \p Jobs are in the order without account use.
  auto orderByAccountUse(std::vector<WaitingJob> &Jobs) const -> void;
  auto addTaskGroups(JobEntry &Job, Lateness JobLateness,
                     std::vector<TaskGroup> &Groups) -> void;
  auto setSpeedPreference(const JobTimeEstimate &Estimate,
                          TaskGroup &Group) const -> void;
  auto latenessOf(const JobEntry &Job) const -> Lateness;

  ShardScheduler &Scheduler;
  const CandidateWorkers &Candidates;
  TimePoint Now;
};

} // namespace jayramp::scheduling
