#pragma once

#include "Net/EventLoop.h"
#include "Scheduling/ShardScheduler.h"
#include "Shard/ProgressCommitter.h"
#include "Shard/RowCleaner.h"
#include "Shard/ShardRows.h"
#include "Shard/WorkerRegistry.h"
#include "Shard/WorkerSession.h"
#include "Store/RowStore.h"
#include "Store/TableFollower.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace jayramp::shard {

/// Schedules one shard while this process owns it.
class ShardOwner {
public:
  struct Dependencies {
    net::EventLoop &Loop;
    store::RowStore &Store;
    WorkerPort &Port;
    WorkerRegistry &Registry;
    const ShardSettings &Settings;
  };

  /// \p OnLost is called once, from the event loop, when another host has the
  /// shard or this process cannot go on as its owner.
  ShardOwner(Dependencies Needs, std::string Shard,
             ProgressCommitter::Ownership Held, std::function<void()> OnLost);
  ~ShardOwner();
  ShardOwner(const ShardOwner &) = delete;
  auto operator=(const ShardOwner &) -> ShardOwner & = delete;

  auto start() -> void;
  auto setGuarantees(std::map<std::string, std::int64_t> GpusByTenant) -> void;
  auto scheduler() const -> const scheduling::ShardScheduler & {
    return Scheduler;
  }

private:
  auto readProgress(std::string From) -> void;
  auto onJobRows(const std::vector<store::Row> &Changed) -> void;
  auto onJobRow(const store::Row &Changed) -> void;
  auto addJob(const scheduling::JobSpec &Spec) -> void;
  auto onCommitted() -> void;
  auto onWorkers(const std::vector<WorkerChange> &Changes) -> void;
  auto onWorker(const WorkerChange &Change) -> void;
  auto sessionOf(const std::string &Worker) -> WorkerSession &;
  auto changed() -> void;
  auto decide() -> void;
  auto logDecisions() -> void;
  auto pumpSessions() -> void;
  auto tick() -> void;
  auto forgetFinalJobs() -> void;
  auto lose(const char *Reason) -> void;

  Dependencies Needs;
  std::string Shard;
  ShardRows Rows;
  ProgressCommitter::Ownership Held;
  std::function<void()> OnLost;
  scheduling::ShardScheduler Scheduler;
  std::shared_ptr<ProgressCommitter> Committer;
  std::shared_ptr<RowCleaner> Cleaner;
  std::set<std::string> WaitingRows; ///< Jobs that may have a waiting row.
  std::unique_ptr<store::TableFollower> JobFollower;
  std::map<std::string, store::Row> RecoveredProgress;
  std::map<std::string, std::shared_ptr<WorkerSession>> Sessions;
  WorkerSession::Context Shared;
  TimePoint TakenAt;
  bool Recovering = true;
  bool DecisionDue = false;
  bool Lost = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  net::EventLoop::TimerHandle Tick;
  net::EventLoop::TimerHandle Decision;
  net::EventLoop::TimerHandle ReadRetry;
};

} // namespace jayramp::shard
