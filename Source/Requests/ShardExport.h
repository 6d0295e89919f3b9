#pragma once

#include "Requests/KeyRecord.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace jayramp {

/// Records of one shard that a member sends to the shard's home and backup in
/// the view `ViewVersion`.
struct ShardExport {
  std::uint64_t ViewVersion = 0;
  std::uint32_t Shard = 0;
  std::string SenderIncarnation;
  std::vector<KeyRecord> Records;
  /// The sender has the complete history of the shard. If a transfer has
  /// several messages, only the last one may set this.
  bool Complete = false;
  /// The sender does not have the complete history of the shard. If neither
  /// this nor `Complete` is set, more messages follow.
  bool Incomplete = false;
  /// The records include every grant of the views up to and including this one.
  /// Set in each message of a transfer; `ViewVersion` - 1 if the sender has the
  /// complete history.
  std::uint64_t KnownThroughView = 0;
  /// Views in which no key of the shard was granted or changed. Set only in the
  /// last message of an incomplete transfer.
  std::set<std::uint64_t> IdleViews;
};

} // namespace jayramp
