#pragma once

#include "Base/Result.h"
#include "Jobs/JobEvents.h"
#include "Jobs/SchedulerState.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jayramp {

enum class WorkerState { Live, Leaving, Lost, Quarantined };

/// Accelerators by use.
struct AcceleratorCounts {
  std::uint32_t Installed = 0;
  std::uint32_t Usable = 0; ///< On live workers.
  std::uint32_t Free = 0;   ///< Usable, not held and not reserved.
  std::uint32_t HeldByGuaranteedGangs = 0;
  std::uint32_t HeldBySurplusGangs = 0;
  std::uint32_t Stopping = 0; ///< Held by gangs that are being stopped.

  auto operator==(const AcceleratorCounts &) const -> bool = default;
};

/// Decides which gang runs where. Pure: no clock, threads or input and output;
/// not safe for use from several threads at once.
///
/// Commands record what happened, decide() returns what is to be done. A
/// returned decision counts as carried out; if it could not be (for example
/// because a transaction lost a conflict), call recordGangStopped() for the
/// attempt, and the job is placed again.
class JobScheduler {
public:
  static auto make(Topology Installed, std::vector<AccountPolicy> Accounts,
                   SchedulerPolicy Policy = {}) -> JobScheduler;

  // Commands.

  /// Adds a job; a known id has no effect. Errors as for checkSubmission().
  auto submit(const JobSpecification &Job, TimePoint Now) -> Result<void>;
  /// Adds a job from its row, at any age. Restore running jobs in the order of
  /// their start, then pending ones in the order of submission. InvalidArgument
  /// if the placement names an unknown worker or an accelerator that is held.
  auto restore(const RestoredJob &Job) -> Result<void>;
  /// Nothing happens if the job is unknown.
  auto cancel(const std::string &Job) -> void;
  /// Reports of other attempts than the current one are ignored.
  auto recordTaskEnd(const TaskEnd &End, TimePoint Now) -> void;
  /// Nothing of this attempt runs any more (stopped, leases ended, or never
  /// started). The job is final or waits again, without blame for a worker.
  auto recordGangStopped(const std::string &Job, std::uint32_t Attempt) -> void;
  auto markWorkerLost(const std::string &Worker) -> void;
  /// No new placements; running gangs go on.
  auto markWorkerLeaving(const std::string &Worker) -> void;
  auto markWorkerReturned(const std::string &Worker) -> void;
  /// Unused guarantees are planned anew; gangs whose guarantee is gone become
  /// reclaimable. Jobs of removed accounts are rejected.
  auto changeAccounts(std::vector<AccountPolicy> Accounts) -> void;
  /// Workers are matched by name. Gangs on workers that are gone are stopped;
  /// such a worker stays in topology(), as lost, until the next change after
  /// its gangs have stopped.
  auto changeTopology(Topology Installed) -> void;
  /// While \p Complete is false, workers are not all known, and no waiting job
  /// is rejected as one that can never run. True at first.
  auto setTopologyComplete(bool Complete) -> void;
  /// False if the report is older than the placement and was ignored.
  auto reportUsage(const UsageReport &Report) -> bool;

  /// All that is to be done now. Call after commands and once a second.
  auto decide(TimePoint Now) -> std::vector<Decision>;

  // Queries.

  /// InvalidArgument for a size outside 1 to 64, NotFound for an unknown
  /// account, Rejected if no layout of the topology, the quota or the guarantee
  /// can ever hold the job.
  auto checkSubmission(const JobSpecification &Job) const -> Result<void>;
  /// Why the job does not run; Reason is None if it runs; nothing if unknown.
  auto waitReport(const std::string &Job) const -> std::optional<WaitReport>;
  auto findJob(const std::string &Id) const -> const JobRecord *;
  /// Ids of all jobs that are not final, in order of submission.
  auto jobIds() const -> std::vector<std::string>;
  /// Places of the job's gang, or reserved for it; empty if it has none.
  auto placement(const std::string &Job) const -> std::vector<AcceleratorPlace>;
  auto workerState(const std::string &Worker) const
      -> std::optional<WorkerState>;
  /// Largest adjacent gang, up to 64, that free accelerators could hold now.
  auto largestPlaceableGangSize() const -> std::uint32_t {
    return State.largestFreeBlock();
  }
  auto acceleratorCounts() const -> AcceleratorCounts;
  auto degradedGuarantees() const -> std::vector<DegradedGuarantee> {
    return State.Plan.degraded();
  }
  auto topology() const -> const Topology & { return State.Installed; }
  auto guaranteePlan() const -> const GuaranteePlan & { return State.Plan; }
  auto acceleratorPool() const -> const AcceleratorPool & { return State.Pool; }

private:
  explicit JobScheduler(SchedulerState State) : State(std::move(State)) {}

  auto rejectImpossible() -> void;
  auto finishStop(JobRecord &Job) -> void;
  auto recordFailure(JobRecord &Job, const std::string &Worker, TimePoint Now)
      -> void;

  SchedulerState State;
};

} // namespace jayramp
