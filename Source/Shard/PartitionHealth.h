#pragma once

#include "Base/Clock.h"

#include <map>
#include <string>

namespace jayramp::shard {

/// Knows which partitions of the store have failed recently, so that others are
/// tried before them.
class PartitionHealth {
public:
  auto recordFailure(const std::string &Partition) -> void;
  auto recordSuccess(const std::string &Partition) -> void;
  auto failedRecently(const std::string &Partition) const -> bool;

private:
  /// Partitions whose last call failed, each with the time until which other
  /// partitions are tried before it.
  std::map<std::string, TimePoint> DeprioritizedUntil;
};

} // namespace jayramp::shard
