#pragma once

#include "Requests/KeyRecord.h"

#include <cstdint>
#include <set>
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
  /// Every grant of the views up to this one is among the records. On each
  /// message of a transfer; a complete shard has `ViewVersion` - 1.
  std::uint64_t KnownThroughView = 0;
  /// Views in which no key of the shard was granted or changed, on the last
  /// message of an incomplete transfer.
  std::set<std::uint64_t> IdleViews;
};

} // namespace jayramp
