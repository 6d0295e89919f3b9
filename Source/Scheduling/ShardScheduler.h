#pragma once

#include "Scheduling/JobProgress.h"
#include "Scheduling/JobSpec.h"
#include "Scheduling/Run.h"
#include "Scheduling/RunPollRate.h"
#include "Scheduling/SchedulingDecisions.h"
#include "Scheduling/SchedulingPolicy.h"
#include "Scheduling/WorkerReport.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jayramp::scheduling {

/// A job with what is known of it.
struct JobEntry {
  JobSpec Spec;
  JobProgress Progress;
  TimePoint SubmittedAt;
  std::uint64_t Sequence = 0; ///< Order of submission.
  bool Guaranteed = false;    ///< Within its client account's guarantee.
  bool OnHold = false;        ///< Gets no room for the time being.
  TimePoint FinishedAt;
};

/// A worker with what is placed on it.
struct WorkerEntry {
  WorkerReport Report;
  bool Registered = true; ///< Listed by service discovery.
  bool Reachable = true;  ///< Answers orders.
  Resources Used;         ///< By runs that may be alive.
  std::set<RunId> Runs;
  std::set<std::string> FailedJobs; ///< Since the last success.
  TimePoint QuarantinedUntil;
  TimePoint LeavesAt; ///< Of a draining worker, as far as it has said.
};

/// Decides which task runs on which worker of one shard. Pure: time and
/// observations come in, decisions are changes of its tables. A run is over
/// only by runEnded() or runLost().
class ShardScheduler {
public:
  explicit ShardScheduler(SchedulingPolicy Policy = {}) : Policy(Policy) {}

  // Commands.

  /// Adds an accepted job; a known id has no effect. \p Progress comes from its
  /// row and may name runs that are alive.
  auto addJob(JobSpec Spec, JobProgress Progress, TimePoint SubmittedAt)
      -> void;
  /// No effect on unknown and final jobs.
  auto cancelJob(const std::string &Id, TimePoint Now) -> void;
  /// Drops a final job without live runs; false if it can't be dropped yet.
  auto removeFinishedJob(const std::string &Id) -> bool;
  /// Places no tasks of the job while it is held back.
  auto setOnHold(const std::string &Id, bool OnHold) -> void;
  /// Guaranteed accelerators by client account.
  auto setGuarantees(std::map<std::string, std::int64_t> GpusByTenant) -> void;
  auto updateWorker(const WorkerReport &Report, TimePoint Now) -> void;
  /// The worker is no longer listed; its runs stay until they are over.
  auto unregisterWorker(const std::string &Id) -> void;
  auto setReachable(const std::string &Id, bool Reachable) -> void;
  /// The worker refused a task although it should have had room.
  auto pauseWorker(const std::string &Id, TimePoint Now) -> void;
  /// The worker confirmed the start, or lists the run as running.
  auto runStarted(const RunId &Id, TimePoint Now) -> void;
  auto runProgressed(const RunId &Id, std::uint32_t Percent,
                     const std::string &Checkpoint, TimePoint Now) -> void;
  auto runEnded(const RunId &Id, RunOutcome End, const std::string &Checkpoint,
                TimePoint Now) -> void;
  /// The run is certainly not alive and will never be, without a listed end.
  auto runLost(const RunId &Id, TimePoint Now) -> void;
  /// Asks for the end of a run; it stays until it is over.
  auto stopRun(const RunId &Id, StopReason Reason,
               const std::string &PreemptingJob = {}) -> void;
  /// Places waiting tasks and chooses runs to stop for more urgent ones.
  auto schedule(TimePoint Now) -> void;
  /// Ids of jobs whose progress changed since the last call, at most \p Most,
  /// oldest change first.
  auto takeChangedJobs(std::size_t Most) -> std::vector<std::string>;

  /// Decisions to stop runs since the last call.
  auto takeStopDecisions() -> std::vector<StopDecision> {
    return std::exchange(Stops, {});
  }

  /// Decisions to place tasks since the last call.
  auto takePlacementDecisions() -> std::vector<PlacementDecision> {
    return std::exchange(Placements, {});
  }

  // Queries.

  auto job(const std::string &Id) const -> const JobEntry *;
  auto jobs() const -> const std::map<std::string, JobEntry> & { return Jobs; }
  auto worker(const std::string &Id) const -> const WorkerEntry *;
  auto workers() const -> const std::map<std::string, WorkerEntry> & {
    return Workers;
  }
  auto run(const RunId &Id) const -> const Run *;
  auto runs() const -> const std::map<RunId, Run> & { return Runs; }
  /// How often a listing of the run should be asked for.
  auto pollRateOf(const RunId &Id, TimePoint Now) const -> RunPollRate;
  auto hasChangedJobs() const -> bool { return !Changed.empty(); }

private:
  friend class PlacementPass;
  friend class RunSupervision;

  auto findJob(const std::string &Id) -> JobEntry *;
  auto markChanged(const std::string &Id) -> void;
  auto assign(JobEntry &Job, std::uint32_t Step, std::uint32_t Index,
              std::uint32_t RunNumber, WorkerEntry &Target, TimePoint Now)
      -> void;
  auto releaseRun(const RunId &Id) -> void;
  auto recordFailure(JobEntry &Job, const RunId &Id, TimePoint Now) -> void;
  auto recordSuccess(JobEntry &Job, const RunId &Id, TimePoint Now) -> void;
  auto breakGang(const RunId &Id) -> void;
  auto blameWorker(const std::string &Worker, const std::string &Job,
                   TimePoint Now) -> void;
  auto finishJob(JobEntry &Job, JobState State, TimePoint Now) -> void;
  auto markGuaranteedJobs() -> void;
  /// Accelerators that less urgent work leaves free for urgent arrivals.
  auto urgentReserve(TimePoint Now) -> std::int64_t;

  SchedulingPolicy Policy;
  std::map<std::string, JobEntry> Jobs;
  std::map<std::string, WorkerEntry> Workers;
  std::map<RunId, Run> Runs;
  std::map<std::string, std::int64_t> Guarantees;
  std::deque<std::string> Changed;
  std::set<std::string> ChangedSet;
  /// Accelerators that urgent jobs asked for, by time of arrival.
  std::deque<std::pair<TimePoint, std::int64_t>> UrgentArrivals;
  std::vector<StopDecision> Stops;
  std::vector<PlacementDecision> Placements;
  std::uint64_t NextSequence = 1;
};

} // namespace jayramp::scheduling
