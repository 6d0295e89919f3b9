#pragma once

#include "Requests/KeyRecord.h"

#include <variant>

namespace jayramp {

/// The claim is granted: answer its holder.
struct ReplicationGrantsClaim {
  KeyRecord Record;
};

/// The outcome is held by the backup too: acknowledge the holder's report.
struct ReplicationConfirmsOutcome {
  KeyRecord Record;
};

/// The acknowledgement belongs to an older view or an older write.
struct ReplicationAcknowledgementStale {};

/// What an acknowledgement from the backup allows the home to do.
using ReplicationDecision =
    std::variant<ReplicationGrantsClaim, ReplicationConfirmsOutcome,
                 ReplicationAcknowledgementStale>;

/// Answer of the backup to a record that the home sent.
enum class ReplicaStoreResult {
  Stored,        ///< Held; the home may count on it.
  HasNewerWrite, ///< A newer write is held; not an acknowledgement.
  WrongView,     ///< Sent in another view: refused.
  NotBackup,     ///< This host is not the shard's backup: refused.
  RegistryFull,  ///< No room for another record: refused.
};

} // namespace jayramp
