#pragma once

#include "Net/EventLoop.h"
#include "Scheduling/ShardScheduler.h"
#include "Shard/AdmissionForecast.h"
#include "Shard/ClosedZoneLog.h"
#include "Shard/FreshnessGuard.h"
#include "Shard/JobIntakes.h"
#include "Shard/LoadDecisionLog.h"
#include "Shard/OwnerHeartbeat.h"
#include "Shard/Ownership.h"
#include "Shard/ProgressJournal.h"
#include "Shard/RecoveryDelayLog.h"
#include "Shard/RowCleaner.h"
#include "Shard/SessionContext.h"
#include "Shard/SessionSchedule.h"
#include "Shard/ShardRows.h"
#include "Shard/SpeedLog.h"
#include "Shard/SpeedRowReader.h"
#include "Shard/WorkerContacts.h"
#include "Shard/WorkerRegistry.h"
#include "Shard/WorkerSession.h"
#include "Store/RowStore.h"
#include "Store/TableFollower.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace jayramp::shard {

struct ClosedZones;

/// Recovers and schedules the jobs of one shard while this process owns it.
class ShardOwner {
public:
  struct Dependencies {
    net::EventLoop &Loop;
    store::RowStore &Store;
    WorkerTransport &Transport;
    WorkerRegistry &Registry;
    const ShardSettings &Settings;
  };

  /// \p OnLost is called once, from the event loop, when another host owns the
  /// shard or this process can no longer act as its owner.
  ShardOwner(Dependencies Deps, std::string Shard, Ownership CurrentOwnership,
             std::function<void()> OnLost);
  ~ShardOwner();
  ShardOwner(const ShardOwner &) = delete;
  auto operator=(const ShardOwner &) -> ShardOwner & = delete;

  auto start() -> void;
  /// Applies a row of the job table that a caller's request has stored, before
  /// the change feed delivers it. Does nothing if only the feed can tell whose
  /// job it is.
  auto applyStoredRow(const store::Row &Stored) -> void;
  /// Returns whether the jobs of a queue have been sent to this shard, and to
  /// no other one, for long enough that no host sends them elsewhere.
  using QueueCheck = std::function<bool(const std::string &Queue)>;
  /// Sets the check that rows applied before the change feed have to pass;
  /// without one, all pass.
  auto setQueueCheck(QueueCheck Next) -> void { IsSettled = std::move(Next); }
  /// Sets the callback for a service that the row of a job names and whose
  /// shard is another one. Its jobs need an owner, also if the service is no
  /// longer configured.
  auto setOtherServiceListener(std::function<void(const std::string &)> Next)
      -> void {
    OnOtherService = std::move(Next);
  }
  auto setGuarantees(std::map<std::string, std::int64_t> GpusByAccount) -> void;
  /// Sets the availability zones whose workers get no new runs.
  auto setClosedZones(const ClosedZones &Known) -> void;
  auto scheduler() const -> const scheduling::ShardScheduler & {
    return Scheduler;
  }
  /// Returns which registered workers the owner is not in contact with.
  auto workerContacts() const -> WorkerContacts;
  /// Returns how long the answers of workers are awaited at least.
  auto answerTimeout() const -> Milliseconds {
    return SharedContext.Answers.timeout();
  }
  /// Returns true until the stored state has been read; no decisions are made
  /// before.
  auto isRecovering() const -> bool { return Recovering; }

private:
  auto onJournalOpened(ProgressJournal::RecoveredRows Found) -> void;
  /// Applies all rows of the job table.
  auto onJobSnapshot(std::vector<store::Row> All) -> void;
  /// Applies rows of the job table in the order of their versions.
  auto onJobRows(const std::vector<store::Row> &Changed) -> void;
  auto onJobRow(const store::Row &Changed) -> void;
  auto onDecodedJob(const store::Row &Changed, const scheduling::JobSpec &Spec)
      -> void;
  auto onCancelRow(const std::string &Job, const store::Row &Changed) -> void;
  auto finishRecovery() -> void;
  auto addJob(const scheduling::JobSpec &Spec) -> void;
  auto onCommitted(const std::vector<std::string> &Jobs) -> void;
  auto onWorkerChanges(const std::vector<WorkerChange> &Changes) -> void;
  auto onWorkerChange(const WorkerChange &Change) -> void;
  auto recordOwnershipTaken() -> void;
  auto sessionFor(const std::string &Worker) -> WorkerSession &;
  /// Makes a decision soon if the scheduler needs one.
  auto scheduleDecision() -> void;
  auto decide() -> void;
  /// Lets the sessions of \p Workers send their orders.
  auto sendOrders(const std::set<std::string> &Workers) -> void;
  auto removeSession(const std::string &Worker) -> void;
  auto sendDueOrders() -> void;
  auto onOrdersSent(const WorkerSession &Session) -> void;
  /// Makes sure that sendDueOrders() is called when a session is due.
  auto startOrderTimer() -> void;
  auto tick() -> void;
  auto forgetFinalJobs() -> void;
  auto removeObsoleteWaitingRows() -> void;
  /// Returns the numbers of jobs, or nothing while not all jobs are known.
  auto jobCounts() const -> std::optional<JobCounts>;
  /// Returns what jobs that are submitted now are to expect.
  auto admissionForecast() -> std::optional<AdmissionForecast>;
  /// Removes the rows of a job that has been forgotten.
  auto removeJobRows(const std::string &Job) -> void;
  /// Removes the job row that was stored first, then the progress.
  auto removeFirstJobRow(const std::string &Job,
                         std::vector<store::RowKey> Keys) -> void;
  /// Tells the scheduler which jobs it must hold back because their progress
  /// can't be written at present.
  auto holdBackUnwritableJobs() -> void;
  auto loseOwnership(const char *Reason) -> void;

  Dependencies Deps;
  std::string Shard;
  ShardRows Rows;
  Ownership CurrentOwnership;
  std::function<void()> OnLost;
  scheduling::ShardScheduler Scheduler;
  ProgressJournal Journal;
  RecoveryDelayLog RecoveryLog;
  SpeedLog LearnedSpeedLog;
  LoadDecisionLog LoadLog;
  WorkerContactLog ContactLog;
  AdmissionForecaster Forecaster;
  std::shared_ptr<OwnerHeartbeat> Heartbeat;
  std::shared_ptr<SpeedRowReader> SpeedReader;
  std::shared_ptr<RowCleaner> Cleaner;
  std::set<std::string> JobsWithWaitingRow; ///< Ids of jobs that may have one.
  JobIntakes Intakes;
  QueueCheck IsSettled;
  std::function<void(const std::string &Service)> OnOtherService;
  std::unique_ptr<store::TableFollower> JobFollower;
  ProgressJournal::RecoveredRows RecoveredProgress;
  std::map<std::string, std::shared_ptr<WorkerSession>> Sessions;
  SessionSchedule Schedule;
  FreshnessGuard Freshness;
  ClosedZoneLog ZoneLog;
  SessionContext SharedContext;
  TimePoint OwnershipTakenAt;
  bool Recovering = true;
  bool DecisionDue = false;
  TimePoint NextDecision; ///< No decision is made before this time.
  bool OwnershipLost = false;
  /// Copied into callbacks; the destructor sets it to false, so that later
  /// callbacks have no effect.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  net::EventLoop::TimerHandle TickTimer;
  net::EventLoop::TimerHandle DecisionTimer;
  net::EventLoop::TimerHandle OrderTimer;
  TimePoint OrderTimerDue = TimePoint::max();
};

} // namespace jayramp::shard
