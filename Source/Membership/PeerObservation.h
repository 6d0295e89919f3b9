#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jayramp {

/// What a host knows of one peer from the newest answer to its heartbeats. All
/// times are on the observer's clock and count from the time at which the
/// heartbeat was sent, so delay makes them older, never newer.
struct PeerObservation {
  std::string Name;
  std::string Incarnation;
  TimePoint LastContactAt;
  std::uint64_t ViewVersion = 0;
  std::uint64_t ConfigurationVersion = 0; ///< In force on the peer.
  /// When the peer's newest confirmation was made; empty if it has none.
  std::optional<TimePoint> ConfirmedAt;
  /// Newest time at which the peer may have confirmed an earlier view to a
  /// host that is not in ViewVersion; empty if it never did.
  std::optional<TimePoint> LastRemovedHostContactAt;
  std::uint32_t FreeSlots = 0;
  bool Stopping = false;

  auto operator==(const PeerObservation &) const -> bool = default;
};

} // namespace jayramp
