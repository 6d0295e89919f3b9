#pragma once

#include "Requests/KeyRecord.h"

#include <variant>

namespace jayramp {

/// The record must reach the backup of this view before the claim is granted.
/// Send it, then call confirmReplication() or failReplication().
struct ReplicationNeeded {
  KeyRecord Record;
};

/// The claim's holder may dispatch; the backup of this view has the record. A
/// holder that no longer waits for this claim must report it released.
struct ClaimGranted {
  KeyRecord Record;
};

/// Another claim holds the key.
struct ClaimInProgress {
  KeyRecord Record;
};

/// The key's request ended; `Record.IsOutcomeUnknown` or `Record.Outcome` says
/// how.
struct ClaimDone {
  KeyRecord Record;
};

/// This very claim was released before; a new claim needs a new id.
struct ClaimReleased {};

/// This host is home but does not hold the shard complete yet.
struct ClaimRebalancing {};

/// No live host held the shard complete; the key may have run before.
struct ClaimHistoryLost {
  TimePoint Until;
};

/// The message's view version differs from the registry's.
struct ClaimWrongView {
  std::uint64_t OwnVersion = 0;
};

/// This host is not the home of the shard in this view.
struct ClaimNotHome {};

/// The registry holds its maximum count of records.
struct ClaimRegistryFull {};

using ClaimDecision =
    std::variant<ReplicationNeeded, ClaimGranted, ClaimInProgress, ClaimDone,
                 ClaimReleased, ClaimRebalancing, ClaimHistoryLost,
                 ClaimWrongView, ClaimNotHome, ClaimRegistryFull>;

} // namespace jayramp
