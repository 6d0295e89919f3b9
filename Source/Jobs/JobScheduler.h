#pragma once

#include "Base/Result.h"
#include "Jobs/JobEvents.h"
#include "Jobs/SchedulerState.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jayramp {

/// State of a worker as the scheduler sees it; only live workers get
/// placements.
enum class WorkerState { Live, Leaving, Lost, Quarantined };

/// Numbers of accelerators by state and use.
struct AcceleratorCounts {
  std::uint32_t Installed = 0;
  std::uint32_t Usable = 0; ///< On live workers.
  std::uint32_t Free = 0;   ///< Usable, neither held nor reserved.
  std::uint32_t HeldByGuaranteedGangs = 0;
  std::uint32_t HeldBySurplusGangs = 0;
  std::uint32_t Stopping = 0; ///< Held by gangs that are being stopped.

  auto operator==(const AcceleratorCounts &) const -> bool = default;
};

/// Decides which gang runs on which accelerators. Has no side effects: it uses
/// no clock, threads, or input and output. Not thread-safe.
///
/// The commands record events, and decide() returns the actions that follow
/// from them. The scheduler assumes that the caller carries out each returned
/// decision. If the caller cannot, for example because its transaction lost a
/// conflict, it calls recordGangStopped() for the attempt, and the job is
/// placed again.
class JobScheduler {
public:
  static auto make(Topology Cluster, std::vector<AccountPolicy> Accounts,
                   SchedulerPolicy Policy = {}) -> JobScheduler;

  // Commands.

  /// Adds a job. Does nothing if a job with this id is already known. Returns
  /// the errors of checkSubmission().
  auto submit(const JobSpecification &Job, TimePoint Now) -> Result<void>;
  /// Adds a job from its stored row, in whichever state the row has. Running
  /// jobs must be restored first, in the order of their start, then pending
  /// jobs in the order of submission. Returns InvalidArgument if an accelerator
  /// of the placement is already held. A job whose placement names an unknown
  /// or lost worker is added, and its gang is stopped.
  auto restore(const RestoredJob &Job) -> Result<void>;
  /// Cancels a job; its gang is stopped first if it runs. Does nothing if the
  /// job is unknown.
  auto cancel(const std::string &Job) -> void;
  /// Records that the part of a gang on one worker finished or failed. Ignores
  /// reports about any attempt other than the current one.
  auto recordTaskEnd(const TaskEnd &End, TimePoint Now) -> void;
  /// Records that no task of this attempt runs any more: it was stopped, its
  /// leases expired, or it never started. The job then ends or returns to the
  /// queue. This does not count as a failure of a worker.
  auto recordGangStopped(const std::string &Job, std::uint32_t Attempt) -> void;
  /// Excludes the worker from placement and stops the gangs that run on it.
  auto markWorkerLost(const std::string &Worker) -> void;
  /// Excludes the worker from new placements; gangs that run on it continue.
  auto markWorkerLeaving(const std::string &Worker) -> void;
  /// Allows placements on a worker that was lost or leaving.
  auto markWorkerReturned(const std::string &Worker) -> void;
  /// Replaces the account policies and plans the blocks of unused guarantees
  /// again. Gangs whose guarantee was removed become reclaimable. Pending jobs
  /// of removed accounts are rejected.
  auto changeAccounts(std::vector<AccountPolicy> Accounts) -> void;
  /// Replaces the topology; workers are matched by name. Gangs on removed
  /// workers are stopped. A removed worker stays in topology(), marked as lost,
  /// until the first topology change after its gangs have stopped.
  auto changeTopology(Topology Cluster) -> void;
  /// Tells whether all workers are known. While \p Complete is false, no
  /// pending job is rejected as impossible to run. Initially true.
  auto setTopologyComplete(bool Complete) -> void;
  /// Stores the report. Returns false and ignores it if the job is not running,
  /// or if the report is older than the placement or the latest report.
  auto reportUsage(const UsageReport &Report) -> bool;

  /// Returns all actions to carry out now. Call it after commands and once per
  /// second.
  auto decide(TimePoint Now) -> std::vector<Decision>;

  // Queries.

  /// Checks whether the job can ever run. Returns InvalidArgument if its size
  /// is not between 1 and 64 accelerators, NotFound if the account is unknown,
  /// and Rejected if the topology, the quota or the guarantee can never hold
  /// the job.
  auto checkSubmission(const JobSpecification &Job) const -> Result<void>;
  /// Returns why the job does not run, with Reason None if it runs; nullopt if
  /// the job is unknown.
  auto waitReport(const std::string &Job) const -> std::optional<WaitReport>;
  /// Returns the record of a job, or nullptr if the job is unknown or final.
  auto findJob(const std::string &Id) const -> const JobRecord *;
  /// Returns the ids of all jobs that are not final, in order of submission.
  auto jobIds() const -> std::vector<std::string>;
  /// Returns the accelerators that the job holds or has reserved; empty if
  /// there are none or the job is unknown.
  auto placement(const std::string &Job) const -> std::vector<AcceleratorPlace>;
  /// Returns nullopt if the worker is unknown.
  auto workerState(const std::string &Worker) const
      -> std::optional<WorkerState>;
  /// Returns the number of accelerators, up to 64, of the largest adjacent gang
  /// that fits into the free accelerators now.
  auto largestPlaceableGangSize() const -> std::uint32_t {
    return State.largestFreeBlockSize();
  }
  /// Counts the accelerators by state and use.
  auto acceleratorCounts() const -> AcceleratorCounts;
  /// Returns the guaranteed shapes that do not fit on the live workers.
  auto degradedGuarantees() const -> std::vector<DegradedGuarantee> {
    return State.Plan.degradedGuarantees();
  }
  auto topology() const -> const Topology & { return State.Cluster; }
  auto guaranteePlan() const -> const GuaranteePlan & { return State.Plan; }
  auto acceleratorPool() const -> const AcceleratorPool & { return State.Pool; }

private:
  explicit JobScheduler(SchedulerState State) : State(std::move(State)) {}

  auto rejectInfeasibleJobs() -> void;
  auto finishStoppedJob(JobRecord &Job) -> void;
  auto recordFailure(JobRecord &Job, const std::string &Worker, TimePoint Now)
      -> void;

  SchedulerState State;
};

} // namespace jayramp
