#pragma once

#include "Jobs/AcceleratorPool.h"
#include "Jobs/AccountPolicy.h"
#include "Jobs/Decision.h"
#include "Jobs/GuaranteePlan.h"
#include "Jobs/JobRecord.h"
#include "Jobs/SchedulerPolicy.h"
#include "Jobs/Topology.h"
#include "Jobs/WorkerFailureTracker.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jayramp {

/// State of the job scheduler, with the operations that keep its parts
/// consistent with each other.
struct SchedulerState {
  SchedulerState(Topology Cluster, std::vector<AccountPolicy> Accounts,
                 SchedulerPolicy Policy);

  /// Returns nullptr if the job is unknown.
  auto findJob(const std::string &Id) -> JobRecord *;
  auto findJob(const std::string &Id) const -> const JobRecord *;
  /// Returns nullptr if the account is unknown.
  auto findAccountPolicy(const std::string &Account) const
      -> const AccountPolicy *;
  /// Returns the number of accelerators that the gangs of the account hold or
  /// have reserved.
  auto heldAccelerators(const std::string &Account) const -> std::uint32_t;
  /// Returns the accelerators of the job in the form that job rows store.
  auto placesOf(const JobRecord &Job) const -> std::vector<AcceleratorPlace>;
  /// Returns the indices of the workers on which the job has accelerators,
  /// sorted.
  auto workersOf(const JobRecord &Job) const -> std::vector<std::uint32_t>;

  /// Returns the number of accelerators, up to 64, of the largest adjacent gang
  /// that fits into the free accelerators.
  auto largestFreeBlockSize() const -> std::uint32_t;

  /// Recomputes which accelerators may be used, then repairs the guarantee
  /// plan.
  auto updateUsableAccelerators() -> void;
  /// Reassigns blocks of the guarantee plan that are no longer valid.
  auto repairPlan() -> void;

  /// Assigns the accelerators to the job. Starts the job if all of them are
  /// free; otherwise reserves them and stops the surplus gangs that hold them.
  /// \p ShapeIds has the guaranteed shape of each accelerator and is empty for
  /// surplus use. The caller must already have recorded the use in the plan.
  auto assignAccelerators(JobRecord &Job,
                          std::vector<std::uint32_t> Accelerators,
                          std::vector<std::int32_t> ShapeIds, TimePoint Now)
      -> void;
  /// Starts a job whose reserved accelerators have become free.
  auto startJob(JobRecord &Job, TimePoint Now) -> void;
  /// Cancels the reservation of a job and returns the job to the queue.
  auto cancelReservation(JobRecord &Job) -> void;
  /// Marks a running gang as stopping; the guaranteed shapes that it used
  /// become unused.
  auto markStopping(JobRecord &Job, WaitReason Reason) -> void;
  /// Marks a running gang as stopping and adds a StopGang decision.
  auto stopGang(JobRecord &Job, WaitReason Reason, std::string Detail) -> void;
  /// Releases all accelerators of the job and returns it to the queue.
  auto releaseAccelerators(JobRecord &Job) -> void;
  /// Removes the job and adds an EndJob decision. The job must not hold any
  /// accelerators.
  auto endJob(JobRecord &Job, JobOutcome Outcome, WaitReport Report) -> void;
  /// Makes a guaranteed gang reclaimable.
  auto makeReclaimable(JobRecord &Job) -> void;

  Topology Cluster;
  std::vector<AccountPolicy> Accounts;
  SchedulerPolicy Policy;
  AcceleratorPool Pool;
  GuaranteePlan Plan;
  WorkerFailureTracker FailureTracker;
  std::map<JobKey, JobRecord> Jobs;
  std::unordered_map<std::string, JobKey> KeyById;
  std::unordered_map<std::string, std::uint32_t> HeldByAccount;
  std::vector<bool> IsLost;    ///< By worker index.
  std::vector<bool> IsLeaving; ///< By worker index.
  /// Workers that were removed from the topology but still hold gangs.
  std::set<std::string> UnlistedWorkers;
  std::vector<Decision> PendingDecisions;
  JobKey NextKey = 1;
  std::int64_t NextStartSequence = 1;
  bool PlanNeedsRepair = false; ///< Jobs were restored since the last repair.
  /// Pending jobs may have become impossible to run.
  bool NeedsFeasibilityCheck = true;
  bool TopologyComplete = true; ///< False while some workers may be unknown.

private:
  /// Releases the guaranteed shapes of the job; it keeps its accelerators.
  auto releaseGuaranteedShapes(JobRecord &Job) -> void;
  /// Removes the accelerators from the record and sets the job to pending.
  auto clearPlacement(JobRecord &Job) -> void;
};

} // namespace jayramp
