#pragma once

#include "Base/Clock.h"

namespace jayramp {

/// Periods of membership. The defaults are those of the design page; tests on
/// real threads keep them, so that the measured bounds are the real ones.
struct MembershipTiming {
  /// Interval of heartbeat writes to the table service.
  Milliseconds StoreHeartbeatInterval{1000};
  /// Interval of heartbeats to peers.
  Milliseconds PeerHeartbeatInterval{500};
  /// A peer counts as in contact for this time after the sending of a
  /// heartbeat that it answered.
  Milliseconds ContactWindow{1000};
  /// A confirmation permits serving for this time.
  Milliseconds ConfirmationWindow{2000};
  /// A member whose heartbeat row has not changed for this time, and which has
  /// not answered for the confirmation window, is removed. Must exceed
  /// ConfirmationWindow.
  Milliseconds SilenceLimit{2500};

  auto operator==(const MembershipTiming &) const -> bool = default;
};

} // namespace jayramp
