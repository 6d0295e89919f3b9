#pragma once

#include "Scheduling/AccountShares.h"
#include "Scheduling/GangRoom.h"
#include "Scheduling/JobEntry.h"
#include "Scheduling/Run.h"
#include "Scheduling/RunPollRate.h"
#include "Scheduling/RunTimeModel.h"
#include "Scheduling/SchedulingDecisions.h"
#include "Scheduling/SchedulingPolicy.h"
#include "Scheduling/SpeedPreference.h"
#include "Scheduling/UrgentReserve.h"
#include "Scheduling/WaitReason.h"
#include "Scheduling/WorkerEntry.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jayramp::scheduling {

/// Decides which task runs on which worker of one shard. Performs no I/O and
/// reads no clock: callers pass in the time and their observations, and read
/// the decisions from the tables. A run occupies its worker until runEnded() or
/// runLost() is called for it.
class ShardScheduler {
public:
  explicit ShardScheduler(SchedulingPolicy Policy = {})
      : Policy(Policy), Reserve(Policy), Shares(Policy.AccountUseHorizon),
        RoomForGangs(Policy) {}

  // Commands.

  /// Adds an accepted job. Has no effect if the id is known. \p Progress is the
  /// stored progress of the job and may name runs that are alive.
  auto addJob(JobSpec Spec, JobProgress Progress, TimePoint SubmittedAt)
      -> void;
  /// Cancels a job. Has no effect on unknown and final jobs.
  auto cancelJob(const std::string &Id, TimePoint Now) -> void;
  /// Removes a final job without live runs. Returns false if the job is not
  /// final or has live runs, true if it was removed or is unknown.
  auto removeFinishedJob(const std::string &Id) -> bool;
  /// Starts or stops placing tasks of the job; runs are not affected.
  auto setOnHold(const std::string &Id, bool OnHold) -> void;
  /// Sets the number of guaranteed accelerators of each client account.
  auto setGuarantees(std::map<std::string, std::int64_t> GpusByAccount) -> void;
  /// Replaces the learned speeds of the workers by known time factors. Workers
  /// that are not named are typical ones; if none is named, all are alike.
  auto setTimeFactors(std::map<std::string, double> FactorsByWorker) -> void {
    KnownTimeFactors = std::move(FactorsByWorker);
  }
  /// Sets the availability zones whose workers get no new runs. Runs that have
  /// started there go on.
  auto setClosedZones(std::set<std::string> Zones) -> void;
  /// Sets how long a worker may take to answer a start.
  auto setAnswerTimeout(Milliseconds Timeout) -> void {
    AnswerTimeout = Timeout;
  }
  auto updateWorker(const WorkerReport &Report, TimePoint Now) -> void;
  /// Marks a worker as no longer listed. It is removed once all of its runs
  /// have ended.
  auto unregisterWorker(const std::string &Id) -> void;
  auto setReachable(const std::string &Id, bool Reachable) -> void;
  /// Records that a worker did not take a start that should have succeeded: it
  /// gets no tasks for a short time and is tried last until it starts one.
  auto recordStartRefused(const std::string &Id, TimePoint Now) -> void;
  /// Places no tasks on a worker until \p Until.
  auto pauseWorkerUntil(const std::string &Id, TimePoint Until) -> void;
  /// Records that a start of the run is sent to its worker.
  auto runStartSent(const RunId &Id) -> void;
  /// Records that the worker confirmed the start or reports the run as running.
  auto runStarted(const RunId &Id, TimePoint Now) -> void;
  /// Records a progress report. An empty \p Checkpoint leaves the stored one.
  /// Stops the run if the reports show that it makes no progress.
  auto runProgressed(const RunId &Id, std::uint32_t Percent,
                     const std::string &Checkpoint, TimePoint Now) -> void;
  /// Records that the worker reported the state of its runs and that this run,
  /// which it had started, is not among them. The run counts as one without
  /// progress.
  auto runUnlisted(const RunId &Id, TimePoint Now) -> void;
  /// Records that the worker reported the end of a run. A run may be reported
  /// after it was taken for lost. Returns false if the task had succeeded in
  /// this run and may have been started again since; the end must not be
  /// acknowledged then.
  auto runEnded(const RunId &Id, RunOutcome Outcome,
                const std::string &Checkpoint, TimePoint Now) -> bool;
  /// Records that a run is not alive and never will be, although no worker
  /// reported its end.
  auto runLost(const RunId &Id, TimePoint Now) -> void;
  /// Records that a run ends that was never sent to its worker. Its task is
  /// placed again after a delay that grows with each such run in a row; so is
  /// anything on the worker if \p WorkerCausedIt.
  auto runUnsent(const RunId &Id, bool WorkerCausedIt, TimePoint Now) -> void;
  /// Decides to stop a run. The run keeps its resources until it has ended.
  auto stopRun(const RunId &Id, StopReason Reason,
               const std::string &PreemptingJob = {}) -> void;
  /// Makes one scheduling pass: stops stalled runs and runs on leaving workers,
  /// places waiting tasks and preempts runs for more urgent ones.
  auto schedule(TimePoint Now) -> void;
  /// Takes over what another owner has learned of the speeds of workers.
  auto restoreSpeeds(const SpeedSummary &Known, TimePoint Now) -> void {
    RunTimes.restoreSpeeds(Known, Now);
  }
  /// Returns the ids of jobs whose progress changed since the last call, at
  /// most \p MaxCount, oldest change first. The rest is left for the next call.
  auto takeChangedJobs(std::size_t MaxCount) -> std::vector<std::string>;

  /// Returns the decisions to stop runs since the last call.
  auto takeStopDecisions() -> std::vector<StopDecision> {
    return std::exchange(StopDecisions, {});
  }

  /// Returns the decisions to place tasks since the last call.
  auto takePlacementDecisions() -> std::vector<PlacementDecision> {
    return std::exchange(PlacementDecisions, {});
  }

  /// Returns what waiting tasks were found to wait for since the last call.
  auto takeWaitReports() -> std::vector<WaitReport> {
    return std::exchange(WaitReports, {});
  }

  /// Returns the ids of the workers whose runs, registration or drain state
  /// changed since the last call.
  auto takeChangedWorkers() -> std::set<std::string> {
    return std::exchange(ChangedWorkers, {});
  }

  /// Returns the decisions about room for gangs since the last call.
  auto takeGangRoomDecisions() -> std::vector<GangRoomDecision> {
    return RoomForGangs.takeDecisions();
  }

  // Queries. Those that look up one object return null if it is unknown.

  /// Returns whether something changed since the last pass that can change its
  /// result. The passing of time is not counted.
  auto needsPass() const -> bool { return PassNeeded; }

  auto policy() const -> const SchedulingPolicy & { return Policy; }
  auto job(const std::string &Id) const -> const JobEntry *;
  auto jobs() const -> const std::map<std::string, JobEntry> & { return Jobs; }
  auto worker(const std::string &Id) const -> const WorkerEntry *;
  auto workers() const -> const std::map<std::string, WorkerEntry> & {
    return Workers;
  }
  auto closedZones() const -> const std::set<std::string> & {
    return ClosedZones;
  }
  auto run(const RunId &Id) const -> const Run *;
  auto runs() const -> const std::map<RunId, Run> & { return Runs; }
  /// Returns how often the progress of the run should be polled.
  auto pollRateOf(const RunId &Id, TimePoint Now) const -> RunPollRate;
  /// Returns what was learned from the runs of this shard.
  auto runTimes() const -> const RunTimeModel & { return RunTimes; }
  /// Returns whether workers are known to differ in speed.
  auto knowsSpeeds() const -> bool {
    return KnownTimeFactors ? !KnownTimeFactors->empty()
                            : RunTimes.knowsSpeeds();
  }
  /// Returns for which gangs room is held.
  auto roomForGangs() const -> const GangRoom & { return RoomForGangs; }
  /// Returns the core-seconds of all tasks that were placed so far, by their
  /// expected times.
  auto placedWork() const -> double { return PlacedWork; }
  /// Returns what the runs of each client account use.
  auto accountShares() const -> const AccountShares & { return Shares; }
  /// Returns whether there was not room for all tasks that waited in the last
  /// pass, so that the use of the accounts decided which went first.
  auto accountsCompete() const -> bool { return AccountsCompete; }
  auto hasChangedJobs() const -> bool { return !ChangedJobs.empty(); }

private:
  friend class PlacementPass;
  friend class RunSupervision;
  friend class TaskGroupCollector;

  auto findJob(const std::string &Id) -> JobEntry *;
  auto markChanged(const std::string &Id) -> void;
  auto markWorkerChanged(const std::string &Id) -> void;
  /// Adds a run, which occupies \p Target, to the tables.
  auto addRun(Run NewRun, WorkerEntry &Target) -> void;
  auto assign(JobEntry &Job, std::uint32_t Step, std::uint32_t Index,
              std::uint32_t RunNumber, WorkerEntry &Target, TimePoint Now)
      -> void;
  auto markStopping(Run &LiveRun) -> void;
  auto removeWorker(std::map<std::string, WorkerEntry>::iterator Position)
      -> void;
  /// Handles a report that shows no progress of a run.
  auto checkProgress(Run &LiveRun, TimePoint Now) -> void;
  /// Removes a run and frees its resources.
  auto releaseRun(const RunId &Id) -> void;
  /// Handles the end of a run that is not live any more. Returns what
  /// runEnded() returns.
  auto lateRunEnded(JobEntry &Job, const RunId &Id, RunOutcome Outcome,
                    TimePoint Now) -> bool;
  /// Stops the runs of the task, or of its gang, that are not needed because
  /// the task is done.
  auto stopSupersededRuns(const JobEntry &Job, const RunId &DoneRun) -> void;
  auto finishIfAllDone(JobEntry &Job, TimePoint Now) -> void;
  auto recordFailure(JobEntry &Job, const RunId &Id, TimePoint Now) -> void;
  auto recordSuccess(JobEntry &Job, const RunId &Id, TimePoint Now) -> void;
  /// Stops all members of the gang of \p Id, unless the gang is done.
  auto stopGang(const RunId &Id) -> void;
  /// Counts a failure of \p Job against the worker and quarantines the worker
  /// if the limit is reached.
  auto recordWorkerFailure(const std::string &Worker, const std::string &Job,
                           TimePoint Now) -> void;
  auto finishJob(JobEntry &Job, JobState State, TimePoint Now) -> void;
  auto updateGuaranteedJobs() -> void;
  auto updateTimeFactors(TimePoint Now) -> void;
  auto timeFactor(const WorkerEntry &Entry) const -> double;
  /// Returns the slowest class of workers on which \p Job, started without
  /// wait, is expected to end in time.
  auto slowestInTime(const JobEntry &Job) const -> SpeedClass;

  SchedulingPolicy Policy;
  std::map<std::string, JobEntry> Jobs;
  /// The jobs that are not final, in the order of submission.
  std::map<std::uint64_t, JobEntry *> ActiveJobs;
  std::map<std::string, WorkerEntry> Workers;
  std::set<std::string> ClosedZones;
  std::map<std::string, std::size_t> RackNumbers;
  std::set<std::string> DrainingWorkers;
  std::set<std::string> ChangedWorkers;
  std::map<RunId, Run> Runs;
  /// Gangs that the next pass checks for stalled members, by their first
  /// member.
  std::set<RunId> GangsToCheck;
  /// Gangs of which some members have started, by their first member.
  std::set<RunId> StartingGangs;
  bool PassNeeded = true;
  std::map<std::string, std::int64_t> Guarantees;
  std::deque<std::string> ChangedJobs;
  std::set<std::string> ChangedJobSet;
  Milliseconds AnswerTimeout{400};
  UrgentReserve Reserve;
  AccountShares Shares;
  GangRoom RoomForGangs;
  double PlacedWork = 0;
  bool AccountsCompete = false; ///< The last pass ordered jobs by account use.
  RunTimeModel RunTimes;
  /// By worker; absent if the learned ones apply.
  std::optional<std::map<std::string, double>> KnownTimeFactors;
  std::vector<StopDecision> StopDecisions;
  std::vector<PlacementDecision> PlacementDecisions;
  std::vector<WaitReport> WaitReports;
  TimePoint NextWaitDiagnosis; ///< No wait is diagnosed before this time.
  std::uint64_t NextSequence = 1;
};

} // namespace jayramp::scheduling
