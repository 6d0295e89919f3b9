#pragma once

#include "Requests/KeyRecord.h"

#include <variant>

namespace jayramp {

/// The record must be stored at the backup of this view before the claim is
/// granted. The caller sends it to the backup, then calls
/// KeyRegistry::confirmReplication() or
/// KeyRegistry::handleReplicationFailure().
struct ReplicationNeeded {
  KeyRecord Record;
};

/// The claim's holder may dispatch the request; the backup of this view has the
/// record. A holder that no longer waits for this claim must report it as
/// released.
struct ClaimGranted {
  KeyRecord Record;
};

/// The key is claimed by another claim that has not ended.
struct ClaimInProgress {
  KeyRecord Record;
};

/// The key's request ended; `Record.IsOutcomeUnknown` or `Record.Outcome` says
/// how.
struct ClaimDone {
  KeyRecord Record;
};

/// This claim was released before; a new claim needs a new claim id.
struct ClaimReleased {};

/// This host is the home of the shard, but does not have its complete history
/// yet.
struct ClaimRebalancing {};

/// No live host had the complete history of the shard, so the request with this
/// key may have run before.
struct ClaimHistoryLost {
  /// Time from which new claims are accepted again.
  TimePoint Until;
};

/// The view version of the claim differs from the registry's.
struct ClaimWrongView {
  std::uint64_t OwnVersion = 0;
};

/// This host is not the home of the shard in this view.
struct ClaimNotHome {};

/// The registry has reached its maximum number of records.
struct ClaimRegistryFull {};

/// Decision of a key's home on a claim.
using ClaimDecision =
    std::variant<ReplicationNeeded, ClaimGranted, ClaimInProgress, ClaimDone,
                 ClaimReleased, ClaimRebalancing, ClaimHistoryLost,
                 ClaimWrongView, ClaimNotHome, ClaimRegistryFull>;

} // namespace jayramp
