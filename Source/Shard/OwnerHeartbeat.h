#pragma once

#include "Net/EventLoop.h"
#include "Shard/Ownership.h"
#include "Shard/ShardRows.h"
#include "Shard/ShardSettings.h"
#include "Shard/SpeedRowSchedule.h"
#include "Store/RowStore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace jayramp::shard {

/// How many jobs an owner knows.
struct JobCounts {
  std::map<std::string, std::uint64_t> Waiting; ///< Of each queue.
  std::uint64_t Total = 0; ///< Final jobs that are remembered included.

  auto operator==(const JobCounts &) const -> bool = default;
};

/// Writes the heartbeat row of a shard's owner on condition that this process
/// still is the owner, and with it the row of learned speeds when it has
/// changed.
class OwnerHeartbeat : public std::enable_shared_from_this<OwnerHeartbeat> {
public:
  /// Returns the numbers of jobs, or nothing while they are not known.
  using JobCountSource = std::function<std::optional<JobCounts>()>;

  /// Returns what is known of the speeds of workers, or nothing while the
  /// workers are not known.
  using SpeedQuery = std::function<std::optional<scheduling::SpeedSummary>()>;
  /// Returns the current forecast, or nothing if there is none.
  using ForecastSource = std::function<std::optional<AdmissionForecast>()>;

  /// \p OnLost is called if another host owns the shard.
  OwnerHeartbeat(net::EventLoop &Loop, store::RowStore &Store, ShardRows Rows,
                 const ShardSettings &Settings, Ownership CurrentOwnership,
                 JobCountSource ReadJobCounts, SpeedQuery ReadSpeeds,
                 ForecastSource ReadForecast,
                 std::function<void(const char *Reason)> OnLost);

  /// Sends a heartbeat if one is due and none is in flight.
  auto sendIfDue() -> void;
  /// Records what the row of speeds held when this owner took over.
  auto recordStoredSpeeds(scheduling::SpeedSummary Found) -> void {
    SpeedRow.recordStored(std::move(Found), Clock::now());
  }
  auto close() -> void;
  /// Returns the time at which the last successful write was sent, on the clock
  /// of suspendAwareNow().
  auto lastConfirmedAt() const -> Milliseconds { return LastConfirmedAt; }

private:
  auto effectiveInterval() const -> Milliseconds;
  auto send() -> void;
  auto onOutcome(const store::TransactionCommitted &Outcome) -> void;
  auto onOutcome(const store::TransactionConflict &Outcome) -> void;
  auto onOutcome(const store::StoreRefusal &Outcome) -> void;
  auto onOutcome(const store::StoreNoAnswer &Outcome) -> void;
  auto retry(const std::string &Reason) -> void;

  net::EventLoop &Loop;
  store::RowStore &Store;
  ShardRows Rows;
  const ShardSettings &Settings;
  Ownership CurrentOwnership;
  JobCountSource ReadJobCounts;
  SpeedQuery ReadSpeeds;
  SpeedRowSchedule SpeedRow;
  ForecastSource ReadForecast;
  std::function<void(const char *)> OnLost;
  bool WriteInProgress = false;
  bool Closed = false;
  std::uint64_t Sequence = 0;
  TimePoint LastHeartbeatAt;
  Milliseconds LastWriteDuration{0}; ///< From sending to the answer.
  Milliseconds SentAt{0};
  Milliseconds LastConfirmedAt{0};
  net::EventLoop::TimerHandle Retry;
};

} // namespace jayramp::shard
