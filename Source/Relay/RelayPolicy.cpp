#include "Relay/RelayPolicy.h"

#include <algorithm>
#include <functional>

namespace jayramp::relay {

namespace {

/// One failure may be of a single partition or connection.
constexpr unsigned FailuresUntilUnserved = 3;
constexpr Milliseconds SilenceAllowed{800};
constexpr int LatenciesAllowed = 4;
constexpr Milliseconds ProbeInterval{400};
/// Peers that are not served either: the store is probably down for all.
constexpr unsigned PeersUntilHopeless = 2;
constexpr Milliseconds HopelessTime{500};
constexpr Milliseconds UnservedRest{1000};
constexpr Milliseconds SilentRest{5000};

} // namespace

auto RelayPolicy::setHosts(std::vector<std::string> Addresses) -> void {
  std::erase(Addresses, Self);
  std::sort(Addresses.begin(), Addresses.end());
  // Hosts that are cut off together should not all ask the same peer.
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
    DirectFailures = 0;
    LastServed = Now;
    return;
  }
  if (Outcome == StoreCallOutcome::Failed) {
    ++DirectFailures;
    return;
  }
  // A store that answered a moment ago is slow rather than out of reach.
  if (Now - LastServed >= std::max(SilenceAllowed, Latency * LatenciesAllowed))
    DirectFailures = FailuresUntilUnserved;
}

auto RelayPolicy::recordPeerCall(const std::string &Address,
                                 PeerCallOutcome Outcome, TimePoint Now)
    -> void {
  if (Outcome == PeerCallOutcome::Succeeded) {
    Current = Address;
    PeerFailures = 0;
    RestUntil.erase(Address);
    return;
  }
  if (Current == Address)
    Current.reset();
  RestUntil[Address] =
      Now + (Outcome == PeerCallOutcome::StoreUnavailable ? UnservedRest
                                                          : SilentRest);
  if (++PeerFailures < PeersUntilHopeless)
    return;
  PeerFailures = 0;
  HopelessUntil = Now + HopelessTime;
}

auto RelayPolicy::startProbeIfDue(TimePoint Now) -> bool {
  if (isStoreAvailable() || Now < NextProbe)
    return false;
  NextProbe = Now + ProbeInterval;
  return true;
}

auto RelayPolicy::isStoreAvailable() const -> bool {
  return DirectFailures < FailuresUntilUnserved;
}

auto RelayPolicy::selectPeer(TimePoint Now) const
    -> std::optional<std::string> {
  if (Current)
    return Current;
  if (Now < HopelessUntil)
    return std::nullopt;
  for (const auto &Address : Peers) {
    const auto Rest = RestUntil.find(Address);
    if (Rest == RestUntil.end() || Now >= Rest->second)
      return Address;
  }
  return std::nullopt;
}

} // namespace jayramp::relay
