#pragma once

#include "Base/Clock.h"

namespace jayramp {

/// Periods and timeouts of the membership protocol. Tests on real threads keep
/// the defaults, so that they check the time bounds that apply in operation.
struct MembershipTiming {
  /// Interval between writes of the heartbeat row to the table service.
  Milliseconds StoreHeartbeatInterval{1000};
  /// Interval between heartbeats to the peers.
  Milliseconds PeerHeartbeatInterval{500};
  /// A peer counts as reachable for this long after this host sent a heartbeat
  /// that the peer answered.
  Milliseconds ContactWindow{1000};
  /// A confirmation of the view by the store permits serving for this long,
  /// counted from the sending of the call.
  Milliseconds ConfirmationWindow{2000};
  /// A member is removed if its heartbeat row has not changed for this long and
  /// it has not answered a peer heartbeat for ConfirmationWindow. Must exceed
  /// ConfirmationWindow, so that a removed member has stopped serving.
  Milliseconds SilenceLimit{2500};

  auto operator==(const MembershipTiming &) const -> bool = default;
};

} // namespace jayramp
