#pragma once

#include "Net/EventLoop.h"
#include "Scheduling/ShardScheduler.h"
#include "Shard/OwnerHeartbeat.h"
#include "Shard/Ownership.h"
#include "Shard/ProgressJournal.h"
#include "Shard/RowCleaner.h"
#include "Shard/ShardRows.h"
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

/// Schedules one shard while this process owns it.
class ShardOwner {
public:
  struct Dependencies {
    net::EventLoop &Loop;
    store::RowStore &Store;
    WorkerTransport &Port;
    WorkerRegistry &Registry;
    const ShardSettings &Settings;
  };

  /// \p OnLost is called once, from the event loop, when another host has the
  /// shard or this process cannot go on as its owner.
  ShardOwner(Dependencies Needs, std::string Shard, Ownership Held,
             std::function<void()> OnLost);
  ~ShardOwner();
  ShardOwner(const ShardOwner &) = delete;
  auto operator=(const ShardOwner &) -> ShardOwner & = delete;

  auto start() -> void;
  /// A row of the job table that another host has stored, ahead of the change
  /// feed.
  auto applyStoredRow(const store::Row &Stored) -> void;
  auto setGuarantees(std::map<std::string, std::int64_t> GpusByTenant) -> void;
  auto scheduler() const -> const scheduling::ShardScheduler & {
    return Scheduler;
  }

private:
  auto onJournalOpened(ProgressJournal::Recovered Found) -> void;
  auto onJobRows(const std::vector<store::Row> &Changed) -> void;
  auto onJobRow(const store::Row &Changed) -> void;
  auto onCancelRow(const std::string &Job, const store::Row &Changed) -> void;
  auto finishRecovery() -> void;
  auto addJob(const scheduling::JobSpec &Spec) -> void;
  auto onCommitted() -> void;
  auto onWorkers(const std::vector<WorkerChange> &Changes) -> void;
  auto onWorker(const WorkerChange &Change) -> void;
  auto sessionOf(const std::string &Worker) -> WorkerSession &;
  auto changed() -> void;
  auto decide() -> void;
  auto logDecisions() -> void;
  auto pumpSessions() -> void;
  /// Whether it holds each worker that has drained for long.
  auto workerListIsFresh() const -> bool;
  auto reportWorkerList() -> void;
  auto tick() -> void;
  auto forgetFinalJobs() -> void;
  auto removeWaitingRows() -> void;
  /// Pending jobs by queue; absent while not all jobs are known.
  auto waitingCounts() const
      -> std::optional<std::map<std::string, std::uint64_t>>;
  auto removeRows(const std::string &Job) -> void;
  /// Tells the scheduler whose progress can't be written at present.
  auto holdUnwritableJobs() -> void;
  auto lose(const char *Reason) -> void;

  Dependencies Needs;
  std::string Shard;
  ShardRows Rows;
  Ownership Held;
  std::function<void()> OnLost;
  scheduling::ShardScheduler Scheduler;
  ProgressJournal Journal;
  std::shared_ptr<OwnerHeartbeat> Heartbeat;
  std::shared_ptr<RowCleaner> Cleaner;
  std::set<std::string> WaitingRows; ///< Jobs that may have a waiting row.
  /// Intake partitions that hold rows of a job: a caller's repeated request may
  /// have been stored in a second one.
  std::map<std::string, std::set<std::string>> Intakes;
  std::unique_ptr<store::TableFollower> JobFollower;
  ProgressJournal::Recovered RecoveredProgress;
  std::map<std::string, std::shared_ptr<WorkerSession>> Sessions;
  WorkerSession::Context Shared;
  TimePoint TakenAt;
  bool ListWasFresh = true;
  bool Recovering = true;
  bool DecisionDue = false;
  bool Lost = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  net::EventLoop::TimerHandle Tick;
  net::EventLoop::TimerHandle Decision;
};

} // namespace jayramp::shard
