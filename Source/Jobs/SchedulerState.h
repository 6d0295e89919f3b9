#pragma once

#include "Jobs/AcceleratorPool.h"
#include "Jobs/AccountPolicy.h"
#include "Jobs/Decision.h"
#include "Jobs/GuaranteePlan.h"
#include "Jobs/JobRecord.h"
#include "Jobs/SchedulerPolicy.h"
#include "Jobs/Topology.h"
#include "Jobs/WorkerFaults.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jayramp {

/// What the job scheduler knows, with the changes that keep its parts
/// consistent with each other.
struct SchedulerState {
  SchedulerState(Topology Installed, std::vector<AccountPolicy> Accounts,
                 SchedulerPolicy Policy);

  auto find(const std::string &Id) -> JobRecord *;
  auto find(const std::string &Id) const -> const JobRecord *;
  auto policyOf(const std::string &Account) const -> const AccountPolicy *;
  /// Accelerators that the account's gangs hold or have reserved.
  auto holdings(const std::string &Account) const -> std::uint32_t;
  auto places(const JobRecord &Job) const -> std::vector<AcceleratorPlace>;
  auto workersOf(const JobRecord &Job) const -> std::vector<std::uint32_t>;

  /// Largest adjacent gang, up to 64, that free accelerators could hold.
  auto largestFreeBlock() const -> std::uint32_t;

  /// Recomputes which accelerators may be used, and repairs the plan.
  auto refreshUsable() -> void;
  auto repairPlan() -> void;

  /// Gives the places to the job: starts it if they are all free, otherwise
  /// reserves them and stops the surplus gangs that hold them. \p Units names
  /// the guaranteed shape of each accelerator; empty for surplus use. The plan
  /// must already record the holdings.
  auto assign(JobRecord &Job, std::vector<std::uint32_t> Accelerators,
              std::vector<std::int32_t> Units, TimePoint Now) -> void;
  /// Starts a job whose reserved places are free.
  auto start(JobRecord &Job, TimePoint Now) -> void;
  /// The job waits again.
  auto endReservation(JobRecord &Job) -> void;
  /// Marks a running gang as stopping; its guaranteed shape is unused again.
  auto beginStop(JobRecord &Job, WaitReason Reason) -> void;
  /// Same, and decides StopGang.
  auto stop(JobRecord &Job, WaitReason Reason, std::string Detail) -> void;
  /// Frees what the job holds; it waits again.
  auto release(JobRecord &Job) -> void;
  /// Forgets the job, which must hold nothing, and decides EndJob.
  auto end(JobRecord &Job, JobOutcome End, WaitReport Report) -> void;
  /// A guaranteed gang becomes reclaimable.
  auto demote(JobRecord &Job) -> void;

  Topology Installed;
  std::vector<AccountPolicy> Accounts;
  SchedulerPolicy Policy;
  AcceleratorPool Pool;
  GuaranteePlan Plan;
  WorkerFaults Faults;
  std::map<JobKey, JobRecord> Jobs;
  std::unordered_map<std::string, JobKey> Keys;
  std::unordered_map<std::string, std::uint32_t> Holdings;
  std::vector<bool> Lost;    ///< By worker index.
  std::vector<bool> Leaving; ///< By worker index.
  /// Workers that are no longer listed but still hold gangs.
  std::set<std::string> Retained;
  std::vector<Decision> Outbox;
  JobKey NextKey = 1;
  std::int64_t NextStart = 1;
  bool PlanIsStale = false;     ///< Jobs were restored since the last repair.
  bool RecheckPending = true;   ///< Waiting jobs may have become impossible.
  bool TopologyComplete = true; ///< False: more may be installed than known.

private:
  auto detach(JobRecord &Job) -> void;
  auto clearPlaces(JobRecord &Job) -> void;
};

} // namespace jayramp
