#pragma once

#include "Base/Result.h"
#include "Jobs/AsyncWorkerClient.h"
#include "Jobs/Gang.h"
#include "Jobs/GangRunner.h"
#include "Jobs/GangRunnerInputs.h"
#include "Jobs/JobRowWriteBuffer.h"
#include "Jobs/JobScheduler.h"
#include "Jobs/JobStore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jayramp {

class EventQueue;
class Metrics;

/// The state machine behind GangRunner. It is used by one thread only. Calls
/// that block run on other threads and post their results as events.
class GangController {
public:
  using StoreTask = std::function<void()>;
  /// Runs a task, which may block, on the thread for store calls.
  using StoreExecutor = std::function<void(StoreTask)>;

  GangController(GangRunner::Options Settings, GangRunnerInputs Inputs,
                 JobStore &Store, WorkerClient &Workers, Metrics &Counters,
                 EventQueue &Events, StoreExecutor RunOnStoreThread);

  /// Performs all work that is due. \returns the time of the next call if no
  /// event arrives before it.
  auto runDueWork(TimePoint Now) -> TimePoint;
  /// Makes the next call of runDueWork() read the changed rows.
  auto pollSoon() -> void { NextRowPoll = TimePoint(); }

private:
  enum class Stage {
    Idle,            ///< This host is not the scheduler of the view.
    LoadingRows,     ///< A takeover reads the job rows and the topology.
    QueryingWorkers, ///< A takeover waits for the status of the workers.
    Scheduling,      ///< Decisions are made and carried out.
  };

  struct WorkerEntry {
    ListedWorker ListEntry;
    std::uint32_t Accelerators = 0; ///< 0 if not known.
    bool StatusCallInProgress = false;
    bool AcceleratorsKnown = false; ///< The worker has reported its count.
    bool StatusCallDone = false; ///< With a reply or an error, since takeover.
    bool IsLost = false;         ///< Did not reply in time.
    bool RenewalInProgress = false; ///< Or a status probe in its place.
    TimePoint NextStatusCallAt;
    TimePoint AvoidUntil;      ///< Set when it refuses a task.
    std::string ReportedState; ///< Passed to the scheduler last; empty if none.
  };

  // Role and takeover.
  auto updateRole() -> void;
  auto beginTakeover(std::uint64_t View) -> void;
  auto handleLoadedRows(
      const Result<std::vector<WorkerDescription>> &PublishedTopology,
      TimePoint Now) -> void;
  auto adoptRow(const JobRow &Row, TimePoint Now) -> void;
  /// Begins scheduling once the workers have reported or the query times out.
  auto finishWorkerQuery(TimePoint Now) -> void;
  auto restoreJobs(TimePoint Now) -> void;
  /// Adds the job of a row to the scheduler.
  auto restoreJob(const JobRow &Row, TimePoint Now) -> void;

  // Workers.
  auto refreshWorkers(TimePoint Now) -> void;
  auto readWorkerList() -> void;
  auto requestWorkerStatus(const std::string &Name, TimePoint Now) -> void;
  auto handleWorkerStatus(const std::string &Name,
                          const Result<WorkerStatus> &Reply) -> void;
  auto describeWorkers() const -> std::vector<WorkerDescription>;
  auto applyTopology() -> void;
  auto refreshAccounts() -> void;
  auto isTopologyComplete() const -> bool;
  auto reportWorkerStates(TimePoint Now) -> void;
  auto workerAddress(const std::string &Worker) const -> std::string;

  // Rows.
  auto pollRows() -> void;
  auto applyRowChanges() -> void;
  /// Adopts a row that another host has written.
  auto applyExternalChange(const JobRow &Row) -> void;
  auto writeChangedRows() -> void;
  auto writeBatch(const JobRowWriteBuffer::Batch &Batch) -> void;
  auto handleBatchResult(const JobRowWriteBuffer::Batch &Batch,
                         const Result<JobWriteResult> &Outcome) -> void;
  /// Writes why pending jobs wait into their rows.
  auto writeWaitReasons() -> void;

  // Decisions.
  auto decide(TimePoint Now) -> void;
  auto carryOut(const StartGang &Start) -> void;
  auto carryOut(const ReclaimGangs &Reclaim) -> void;
  auto carryOut(const StopGang &Stop) -> void;
  auto carryOut(const EndJob &End) -> void;
  auto carryOut(const QuarantineWorker &Quarantine) -> void;
  auto setRowReserved(const std::string &Job, std::uint32_t Attempt,
                      const std::vector<AcceleratorPlace> &Placement) -> void;

  // Starting, renewing and stopping gangs; in GangControllerLifecycle.cpp.
  auto makeGang(const JobRow &Row, bool Guaranteed) const -> Gang;
  auto advanceGang(Gang &Target, TimePoint Now) -> void;
  auto sendStartStep(Gang &Target, TaskVerb Verb, const char *Expected) -> void;
  auto handleStartStepReply(const std::string &Job, const std::string &Task,
                            const std::string &Worker, TaskVerb Verb,
                            const std::string &Expected,
                            const Result<std::vector<TaskStatus>> &Reply)
      -> void;
  auto beginStop(Gang &Target, StopStep First, const std::string &Cause)
      -> void;
  auto enterStopStep(Gang &Target, StopStep Step, TimePoint Now) -> void;
  /// \returns true once no task of the gang can run any more.
  auto advanceStop(Gang &Target, TimePoint Now) -> bool;
  auto sendStopStep(Gang &Target, TimePoint Now) -> void;
  auto handleStopReply(const std::string &Job, const std::string &Task,
                       const std::string &Worker,
                       const Result<std::vector<TaskStatus>> &Reply) -> void;
  auto finishStop(Gang &Target) -> void;
  auto renewLeases(TimePoint Now) -> void;
  /// True if each worker replied in time to a renewal or reported its task's
  /// end.
  auto allMembersResponsive(const Gang &Target, TimePoint Now) const -> bool;
  auto sendRenewal(const std::string &Worker, std::vector<TaskOrder> Orders)
      -> void;
  /// Asks for the worker's status without renewing a lease.
  auto sendStatusProbe(const std::string &Worker) -> void;
  auto handleRenewalReply(const std::string &Worker,
                          const std::vector<TaskOrder> &Orders,
                          const Result<std::vector<TaskStatus>> &Reply) -> void;
  auto recordTaskState(Gang &Target, const std::string &Worker,
                       const std::string &State) -> void;
  auto reportTaskEnd(const Gang &Target, const std::string &Worker,
                     const std::string &State) -> void;
  auto markLostWorkers(TimePoint Now) -> void;
  /// Suspends the scheduler if the worker rejected the current epoch.
  auto checkForFencing(const std::string &Worker, const Error &Failure) -> void;
  auto makeTaskOrder(const Gang &Target, const std::string &Worker) const
      -> TaskOrder;
  auto findGang(const std::string &Job, const std::string &Task) -> Gang *;
  auto logGang(const char *Event, const Gang &Target,
               const std::string &Detail = {}) const -> void;

  const GangRunner::Options Settings;
  const GangRunnerInputs Inputs;
  JobStore &Store;
  Metrics &Counters;
  EventQueue &Events;
  const StoreExecutor RunOnStoreThread;
  WorkerClient &Workers;
  /// Created at the first takeover.
  std::unique_ptr<AsyncWorkerClient> WorkerCalls;

  Stage CurrentStage = Stage::Idle;
  SchedulerRole Role;
  std::uint64_t Epoch = 0; ///< View version under which this host acts.
  /// Last epoch under which a worker or the view row rejected this host.
  std::uint64_t FencedEpoch = 0;
  /// Incremented at each takeover and when the role ends. Results of calls that
  /// were made under an older generation are discarded.
  std::uint64_t Generation = 0;
  bool StoreUnavailable = false;
  bool RowPollInProgress = false;
  bool TopologyPublishPending = false;
  TimePoint NextWorkerListRead;
  TimePoint NextRowPoll;
  TimePoint NextRenewal;
  TimePoint NextDecision;
  TimePoint NextWaitReasonUpdate;
  TimePoint NextBatchRetry;
  TimePoint WorkerQueryDeadline;
  std::optional<JobRowWriteBuffer::Batch> BatchToRetry;
  std::uint64_t RowCursor = 0; ///< Position in the changes of the store.
  std::vector<AccountPolicy> Accounts;
  std::map<std::string, WorkerEntry> KnownWorkers; ///< By name.
  /// Accelerator counts of the published topology, by worker.
  std::map<std::string, std::uint32_t> PublishedAccelerators;
  std::optional<JobScheduler> Scheduler;
  JobRowWriteBuffer Rows;
  std::map<std::string, Gang> Gangs; ///< By job.
};

} // namespace jayramp
