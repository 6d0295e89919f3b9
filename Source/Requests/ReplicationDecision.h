#pragma once

#include "Requests/KeyRecord.h"

#include <variant>

namespace jayramp {

/// The claim is granted; the home replies to its holder.
struct ReplicationGrantsClaim {
  KeyRecord Record;
};

/// The backup stored the outcome too; the home acknowledges the holder's
/// report.
struct ReplicationConfirmsOutcome {
  KeyRecord Record;
};

/// The acknowledgement belongs to an older view or an older write.
struct ReplicationAcknowledgementStale {};

/// What the home may do after the backup acknowledged a record.
using ReplicationDecision =
    std::variant<ReplicationGrantsClaim, ReplicationConfirmsOutcome,
                 ReplicationAcknowledgementStale>;

/// Result of storing a record of the home at the backup.
enum class ReplicaStoreResult {
  Stored,        ///< The backup has the record.
  HasNewerWrite, ///< A newer write is stored; no acknowledgement.
  WrongView,     ///< Refused: the record was sent in another view.
  NotBackup,     ///< Refused: this host is not the shard's backup.
  RegistryFull,  ///< Refused: the maximum record count is reached.
};

} // namespace jayramp
