#pragma once

#include "Net/EventLoop.h"
#include "Shard/ShardSettings.h"
#include "Store/RowStore.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jayramp::shard {

/// Removes obsolete rows in one batch at a time for each partition, and retries
/// until the store has applied the removal.
class RowCleaner : public std::enable_shared_from_this<RowCleaner> {
public:
  RowCleaner(net::EventLoop &Loop, store::RowStore &Store,
             const ShardSettings &Settings)
      : Loop(Loop), Store(Store), Settings(Settings) {}

  /// Removes rows of one partition and calls \p Done once they are removed.
  auto remove(std::vector<store::RowKey> Keys,
              std::function<void()> Done = nullptr) -> void;
  auto close() -> void { Closed = true; }

private:
  struct Batch {
    std::vector<store::RowKey> Keys;
    std::vector<std::function<void()>> Done;
  };
  struct PartitionState {
    Batch Pending;
    Batch InFlight;
    net::EventLoop::TimerHandle Delay;
    bool HasActiveBatch = false;
  };

  auto send(const std::string &Name) -> void;
  auto scheduleSend(const std::string &Name) -> void;

  net::EventLoop &Loop;
  store::RowStore &Store;
  const ShardSettings &Settings;
  std::map<std::string, PartitionState> Partitions;
  bool Closed = false;
};

} // namespace jayramp::shard
