#pragma once

#include "Base/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jayramp::relay {

/// Decides whether store calls go to the store or through a peer, and through
/// which one. Pure: time and observations come in.
class RelayPolicy {
public:
  enum class StoreCallOutcome {
    Succeeded,
    Failed,   ///< Refused, or the connection broke.
    TimedOut, ///< No answer in time; a slow store does the same.
  };
  enum class PeerCallOutcome { Succeeded, StoreUnavailable, NoAnswer };

  explicit RelayPolicy(std::string Self) : Self(std::move(Self)) {}

  // Commands.

  /// Internal addresses of all hosts, this one included.
  auto setHosts(std::vector<std::string> Addresses) -> void;
  /// \p Latency is how long the store's recent answers took.
  auto recordStoreCall(StoreCallOutcome Outcome, TimePoint Now,
                       Milliseconds Latency = Milliseconds(0)) -> void;
  auto recordPeerCall(const std::string &Address, PeerCallOutcome Outcome,
                      TimePoint Now) -> void;
  /// True once for each probe of the store that is due.
  auto startProbeIfDue(TimePoint Now) -> bool;

  // Queries.

  /// The store serves this host, as far as is known.
  auto isStoreAvailable() const -> bool;
  /// The peer to use; none if no peer is likely to help.
  auto selectPeer(TimePoint Now) const -> std::optional<std::string>;

private:
  std::string Self;
  std::vector<std::string> Peers; ///< In the order in which they are tried.
  std::map<std::string, TimePoint> RestUntil; ///< Of peers that failed.
  std::optional<std::string> Current;         ///< Served the last call.
  unsigned DirectFailures = 0;                ///< In a row.
  TimePoint LastServed;                       ///< By the store itself.
  unsigned PeerFailures = 0;                  ///< In a row.
  TimePoint HopelessUntil;
  TimePoint NextProbe;
};

} // namespace jayramp::relay
