#pragma once

#include "Net/EventLoop.h"
#include "Shard/Ownership.h"
#include "Shard/ShardRows.h"
#include "Shard/ShardSettings.h"
#include "Store/RowStore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jayramp::shard {

/// Renews the heartbeat of a shard's owner on condition that it still is the
/// owner.
class OwnerHeartbeat : public std::enable_shared_from_this<OwnerHeartbeat> {
public:
  /// Waiting jobs by queue; absent while they are not known.
  using WaitingCounts =
      std::function<std::optional<std::map<std::string, std::uint64_t>>()>;

  /// \p OnLost: another host owns the shard.
  OwnerHeartbeat(net::EventLoop &Loop, store::RowStore &Store, ShardRows Rows,
                 const ShardSettings &Settings, Ownership Held,
                 WaitingCounts Counts,
                 std::function<void(const char *Reason)> OnLost);

  /// Starts a write if one is due and none is under way.
  auto flush() -> void;
  auto close() -> void;
  /// When the last write that succeeded was sent, on the clock that counts
  /// suspended time.
  auto lastConfirmed() const -> Milliseconds { return LastConfirmed; }

private:
  auto interval() const -> Milliseconds;
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
  Ownership Held;
  WaitingCounts Counts;
  std::function<void(const char *)> OnLost;
  bool Busy = false;
  bool Closed = false;
  std::uint64_t Sequence = 0;
  TimePoint LastBeat;
  Milliseconds LastDuration{0}; ///< Of the last write, from send to answer.
  Milliseconds SentAt{0};
  Milliseconds LastConfirmed{0};
  net::EventLoop::TimerHandle Retry;
};

} // namespace jayramp::shard
