#pragma once

#include "Net/EventLoop.h"
#include "Scheduling/ShardScheduler.h"
#include "Shard/ShardRows.h"
#include "Shard/ShardSettings.h"
#include "Store/RowStore.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jayramp::shard {

/// Writes changed progress rows, one transaction at a time, each on condition
/// that this process still owns the shard. Also renews the owner's heartbeat.
class ProgressCommitter
    : public std::enable_shared_from_this<ProgressCommitter> {
public:
  struct Ownership {
    std::uint64_t FencingToken = 0;
    std::uint64_t OwnerVersion = 0; ///< Version of the owner's row.
  };
  struct Callbacks {
    std::function<void()> OnCommitted;
    /// Another host owns the shard, or a row is not as this process left it.
    std::function<void(const char *Reason)> OnLost;
  };

  ProgressCommitter(net::EventLoop &Loop, store::RowStore &Store,
                    scheduling::ShardScheduler &Scheduler, ShardRows Rows,
                    const ShardSettings &Settings, Ownership Held,
                    Callbacks Told);

  /// The job's progress row has this version in the store; 0: there is none.
  auto noteRow(const std::string &Job, std::uint64_t Version) -> void;
  /// Removes the progress row of a job with a later write.
  auto removeProgress(const std::string &Job) -> void;
  /// Starts a write if one is due and none is under way.
  auto flush() -> void;
  auto close() -> void;

  /// Number of the write that makes all changes so far durable.
  auto changeNumber() const -> std::uint64_t;
  auto isDurable(std::uint64_t ChangeNumber) const -> bool {
    return ChangeNumber <= Durable;
  }
  /// When the last write that succeeded was sent, on the clock that counts
  /// suspended time.
  auto lastConfirmed() const -> Milliseconds { return LastConfirmed; }

private:
  auto heartbeatInterval() const -> Milliseconds;
  auto compose() -> bool;
  auto send() -> void;
  auto onOutcome(store::Committed &Outcome) -> void;
  auto onOutcome(store::Conflicted &Outcome) -> void;
  auto onOutcome(store::StoreRefused &Outcome) -> void;
  auto onOutcome(store::StoreUnanswered &Outcome) -> void;
  auto retry() -> void;
  auto finish(std::uint64_t Version) -> void;

  net::EventLoop &Loop;
  store::RowStore &Store;
  scheduling::ShardScheduler &Scheduler;
  ShardRows Rows;
  const ShardSettings &Settings;
  Ownership Held;
  Callbacks Told;
  std::map<std::string, std::uint64_t> RowVersions; ///< By job.
  std::vector<std::string> Removals;                ///< Jobs.
  store::RowTransaction InFlight;
  std::vector<std::string> InFlightJobs;
  bool Busy = false;
  bool Closed = false;
  std::uint64_t InFlightCovers = 0;
  std::uint64_t Pending = 1;
  std::uint64_t Durable = 0;
  std::uint64_t HeartbeatSequence = 0;
  TimePoint LastHeartbeat;
  Milliseconds LastDuration{0}; ///< Of the last write, from send to answer.
  Milliseconds SentAt{0};
  Milliseconds LastConfirmed{0};
  net::EventLoop::TimerHandle Retry;
};

/// Time since the host started, including the time that it was suspended.
auto suspendAwareNow() -> Milliseconds;

} // namespace jayramp::shard
