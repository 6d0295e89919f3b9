#pragma once

#include "Base/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jayramp::relay {

/// Decides whether store calls go directly to the store or through a peer, and
/// selects the peer. Does no I/O and reads no clock: the caller passes in call
/// outcomes and the time.
class RelayPolicy {
public:
  enum class StoreCallOutcome {
    Succeeded,
    Failed,   ///< The store refused the call, or the connection broke.
    TimedOut, ///< No answer in time; the store may just be slow.
  };
  enum class PeerCallOutcome {
    Succeeded,
    StoreUnavailable, ///< The store is unavailable to the peer as well.
    NoAnswer          ///< The peer did not answer.
  };

  explicit RelayPolicy(std::string Self) : Self(std::move(Self)) {}

  // Commands.

  /// Sets the internal addresses of all entry hosts, including this one.
  auto setHosts(std::vector<std::string> Addresses) -> void;
  /// Records the outcome of a direct call to the store. \p Latency is the
  /// recent latency of the store.
  auto recordStoreCall(StoreCallOutcome Outcome, TimePoint Now,
                       Milliseconds Latency = Milliseconds(0)) -> void;
  /// Records the outcome of a call through the peer at \p Address.
  auto recordPeerCall(const std::string &Address, PeerCallOutcome Outcome,
                      TimePoint Now) -> void;
  /// Returns true if the store is unavailable and a probe of it is due, and
  /// schedules the next probe.
  auto startProbeIfDue(TimePoint Now) -> bool;

  // Queries.

  /// Returns whether recent direct calls show the store available to this host.
  auto isStoreAvailable() const -> bool;
  /// Returns the address of the peer to use for the next call; none while all
  /// peers are backed off after failures.
  auto selectPeer(TimePoint Now) const -> std::optional<std::string>;

private:
  std::string Self;
  std::vector<std::string> Peers; ///< In the order in which they are tried.
  std::map<std::string, TimePoint> PeerBackoffUntil; ///< Of failed peers.
  std::optional<std::string> CurrentPeer; ///< Made the last call successfully.
  unsigned ConsecutiveStoreFailures = 0;
  TimePoint LastStoreSuccess;
  unsigned ConsecutivePeerFailures = 0;
  TimePoint AllPeersBackoffUntil;
  TimePoint NextProbe;
};

} // namespace jayramp::relay
