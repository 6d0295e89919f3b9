#pragma once

#include "Net/EventLoop.h"
#include "Scheduling/SpeedSummary.h"
#include "Shard/ShardRows.h"
#include "Shard/ShardSettings.h"
#include "Store/RowStore.h"

#include <functional>
#include <memory>

namespace jayramp::shard {

/// Reads what the previous owner of a shard has learned of the speeds of
/// workers. Gives up if the store does not serve the row for some seconds.
class SpeedRowReader : public std::enable_shared_from_this<SpeedRowReader> {
public:
  /// \p OnRead is called at most once, if the row exists and is well-formed.
  SpeedRowReader(net::EventLoop &Loop, store::RowStore &Store, ShardRows Rows,
                 const ShardSettings &Settings,
                 std::function<void(scheduling::SpeedSummary)> OnRead);

  auto start() -> void;
  auto close() -> void;

private:
  auto onOutcome(const store::RowPage &Page) -> void;
  auto onOutcome(const store::StoreRefusal &Outcome) -> void;
  auto onOutcome(const store::StoreNoAnswer &Outcome) -> void;
  auto retry(const std::string &Reason) -> void;

  net::EventLoop &Loop;
  store::RowStore &Store;
  ShardRows Rows;
  const ShardSettings &Settings;
  std::function<void(scheduling::SpeedSummary)> OnRead;
  int Attempts = 0;
  bool Closed = false;
  net::EventLoop::TimerHandle Retry;
};

} // namespace jayramp::shard
