#include "Relay/RelayPolicy.h"

#include <algorithm>
#include <functional>

namespace jayramp::relay {

namespace {

/// Number of failures in a row after which the store counts as unavailable;
/// fewer may be due to a single partition or connection.
constexpr unsigned FailuresUntilUnavailable = 3;
/// Timeouts count as unavailability only if the last success is older than this
/// time and than this multiple of the store's latency.
constexpr Milliseconds MinTimeWithoutSuccess{800};
constexpr int MinLatenciesWithoutSuccess = 4;
constexpr Milliseconds ProbeInterval{400};
/// After this many failed peer calls in a row the store is probably down for
/// all hosts, and no peer is used for a while.
constexpr unsigned FailuresUntilAllPeersBackoff = 2;
constexpr Milliseconds AllPeersBackoff{500};
/// Backoff of a peer to which the store is unavailable.
constexpr Milliseconds UnavailableStoreBackoff{1000};
/// Backoff of a peer that does not answer.
constexpr Milliseconds NoAnswerBackoff{5000};

} // namespace

auto RelayPolicy::setHosts(std::vector<std::string> Addresses) -> void {
  std::erase(Addresses, Self);
  std::sort(Addresses.begin(), Addresses.end());
  // Each host starts at another peer, so that hosts that lose the store at the
  // same time do not all call the same peer.
  if (!Addresses.empty()) {
    const auto First = std::hash<std::string>{}(Self) % Addresses.size();
    std::rotate(Addresses.begin(),
                Addresses.begin() + static_cast<std::ptrdiff_t>(First),
                Addresses.end());
  }
  Peers = std::move(Addresses);
}

auto RelayPolicy::recordStoreCall(StoreCallOutcome Outcome, TimePoint Now,
                                  Milliseconds Latency) -> void {
  if (Outcome == StoreCallOutcome::Succeeded) {
    ConsecutiveStoreFailures = 0;
    LastStoreSuccess = Now;
    return;
  }
  if (Outcome == StoreCallOutcome::Failed) {
    ++ConsecutiveStoreFailures;
    return;
  }
  // A store that answered recently is slow rather than unavailable.
  if (Now - LastStoreSuccess >=
      std::max(MinTimeWithoutSuccess, Latency * MinLatenciesWithoutSuccess))
    ConsecutiveStoreFailures = FailuresUntilUnavailable;
}

auto RelayPolicy::recordPeerCall(const std::string &Address,
                                 PeerCallOutcome Outcome, TimePoint Now)
    -> void {
  if (Outcome == PeerCallOutcome::Succeeded) {
    CurrentPeer = Address;
    ConsecutivePeerFailures = 0;
    PeerBackoffUntil.erase(Address);
    return;
  }
  if (CurrentPeer == Address)
    CurrentPeer.reset();
  PeerBackoffUntil[Address] =
      Now + (Outcome == PeerCallOutcome::StoreUnavailable
                 ? UnavailableStoreBackoff
                 : NoAnswerBackoff);
  if (++ConsecutivePeerFailures < FailuresUntilAllPeersBackoff)
    return;
  ConsecutivePeerFailures = 0;
  AllPeersBackoffUntil = Now + AllPeersBackoff;
}

auto RelayPolicy::startProbeIfDue(TimePoint Now) -> bool {
  if (isStoreAvailable() || Now < NextProbe)
    return false;
  NextProbe = Now + ProbeInterval;
  return true;
}

auto RelayPolicy::isStoreAvailable() const -> bool {
  return ConsecutiveStoreFailures < FailuresUntilUnavailable;
}

auto RelayPolicy::selectPeer(TimePoint Now) const
    -> std::optional<std::string> {
  if (CurrentPeer)
    return CurrentPeer;
  if (Now < AllPeersBackoffUntil)
    return std::nullopt;
  for (const auto &Address : Peers) {
    const auto Backoff = PeerBackoffUntil.find(Address);
    if (Backoff == PeerBackoffUntil.end() || Now >= Backoff->second)
      return Address;
  }
  return std::nullopt;
}

} // namespace jayramp::relay
