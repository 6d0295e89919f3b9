#pragma once

#include <string>
#include <vector>

namespace jayramp::shard {

/// Partitions of the journal that a new owner has still to claim or to read.
struct JournalRecovery {
  std::vector<std::string> Unclaimed;
  std::vector<std::string> Unread; ///< Claimed; their rows are being read.

  auto operator==(const JournalRecovery &) const -> bool = default;
};

} // namespace jayramp::shard
