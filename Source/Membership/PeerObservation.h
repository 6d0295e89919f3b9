#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace jayramp {

/// What a host knows of one peer from its newest answer to a heartbeat. All
/// times are on the clock of the observing host. LastContactAt and ConfirmedAt
/// are based on the time at which the heartbeat was sent, so that network delay
/// makes them older, never newer.
struct PeerObservation {
  std::string Name;
  std::string Incarnation;
  /// When the heartbeat that the peer answered was sent.
  TimePoint LastContactAt;
  std::uint64_t ViewVersion = 0;
  std::uint64_t ConfigurationVersion = 0; ///< In force on the peer.
  /// Time of the newest confirmation of the view by the store that the peer
  /// reported; empty if it reported none.
  std::optional<TimePoint> ConfirmedAt;
  /// Newest time at which the peer may have confirmed an earlier view to a
  /// host that is not in the view ViewVersion; empty if it never did. Based on
  /// the arrival of the answer, so that delay makes it newer, never older.
  std::optional<TimePoint> LastRemovedHostContactAt;
  std::uint32_t FreeSlots = 0;
  bool Stopping = false; ///< The peer hands over its work or leaves.

  auto operator==(const PeerObservation &) const -> bool = default;
};

} // namespace jayramp
