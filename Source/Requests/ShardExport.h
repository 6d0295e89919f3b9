#pragma once

#include "Requests/KeyRecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

/// The records of one shard for its home and backup in view `ViewVersion`.
struct ShardExport {
  std::uint64_t ViewVersion = 0;
  std::uint32_t Shard = 0;
  std::string SenderIncarnation;
  std::vector<KeyRecord> Records;
  /// The sender holds the shard complete. In a transfer of several messages
  /// only the last one may carry the mark.
  bool Complete = false;
  /// The sender does not hold the shard complete. If neither mark is set, more
  /// messages follow.
  bool Incomplete = false;
};

} // namespace jayramp
