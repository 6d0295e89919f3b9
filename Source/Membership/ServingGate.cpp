#include "Membership/ServingGate.h"

#include "Membership/PeerObservation.h"
#include "Membership/View.h"

#include <algorithm>

namespace jayramp {

auto toString(ServingRefusalReason Reason) -> std::string_view {
  switch (Reason) {
  case ServingRefusalReason::Rebalancing:
    return "REBALANCING";
  case ServingRefusalReason::Leaving:
    return "STOPPING";
  case ServingRefusalReason::NotMember:
  case ServingRefusalReason::StaleView:
    return "STALE_VIEW";
  }
  return "STALE_VIEW";
}

auto ServingGate::countReachableMembers(
    const View &CurrentView, std::string_view SelfName,
    const std::vector<PeerObservation> &Peers, const MembershipTiming &Timing,
    TimePoint Now) -> std::size_t {
  auto Reachable = std::count_if(
      Peers.begin(), Peers.end(), [&](const PeerObservation &Observation) {
        return Observation.Name != SelfName &&
               CurrentView.contains(Observation.Name,
                                    Observation.Incarnation) &&
               Observation.ViewVersion == CurrentView.version() &&
               Now - Observation.LastContactAt <= Timing.ContactWindow;
      });
  return static_cast<std::size_t>(Reachable) + 1;
}

auto ServingGate::newestConfirmation(const ServingDecisionInput &Input)
    -> std::optional<TimePoint> {
  auto Newest = Input.ConfirmedAt;
  for (const auto &Observation : Input.Peers) {
    if (!Observation.ConfirmedAt ||
        Observation.ViewVersion != Input.CurrentView.version() ||
        !Input.CurrentView.contains(Observation.Name, Observation.Incarnation))
      continue;
    // The peer's confirmation covers a newer configuration than the one in
    // force on this host.
    if (Observation.ConfigurationVersion > Input.ConfigurationVersion)
      continue;
    if (!Newest || *Observation.ConfirmedAt > *Newest)
      Newest = Observation.ConfirmedAt;
  }
  return Newest;
}

auto ServingGate::decide(const ServingDecisionInput &Input,
                         const MembershipTiming &Timing, TimePoint Now)
    -> ServingDecision {
  std::uint64_t Version = Input.CurrentView.version();
  if (Input.Leaving)
    return ServingRefused{ServingRefusalReason::Leaving,
                          "this entry host is leaving the view"};
  if (!Input.CurrentView.contains(Input.Self.Name, Input.Self.Incarnation))
    return ServingRefused{ServingRefusalReason::NotMember,
                          "this entry host is not in view " +
                              std::to_string(Version)};
  bool NewerViewReported =
      std::any_of(Input.Peers.begin(), Input.Peers.end(),
                  [&](const PeerObservation &Observation) {
                    return Observation.ViewVersion > Version;
                  });
  if (NewerViewReported)
    return ServingRefused{ServingRefusalReason::StaleView,
                          "a peer holds a newer view than " +
                              std::to_string(Version)};
  if (!Input.Settled)
    return ServingRefused{ServingRefusalReason::Rebalancing,
                          "another entry host may still serve under a view "
                          "earlier than " +
                              std::to_string(Version)};
  auto Confirmed = newestConfirmation(Input);
  if (Confirmed && Now - *Confirmed < Timing.ConfirmationWindow)
    return ServingPermitted{Version, /*ByPeerMajority=*/false};
  // A reachable peer with a recent confirmation that newestConfirmation() did
  // not accept holds a newer configuration. Then the store is reachable for
  // others, and the rule for a total store outage does not apply.
  bool PeerRecentlyConfirmed = std::any_of(
      Input.Peers.begin(), Input.Peers.end(),
      [&](const PeerObservation &Observation) {
        return Observation.ConfirmedAt &&
               Now - *Observation.ConfirmedAt < Timing.ConfirmationWindow &&
               Now - Observation.LastContactAt <= Timing.ContactWindow;
      });
  std::size_t Reachable = countReachableMembers(
      Input.CurrentView, Input.Self.Name, Input.Peers, Timing, Now);
  if (!PeerRecentlyConfirmed && Reachable >= Input.CurrentView.majority())
    return ServingPermitted{Version, /*ByPeerMajority=*/true};
  return ServingRefused{ServingRefusalReason::StaleView,
                        "no confirmation of the view within the confirmation "
                        "window and only " +
                            std::to_string(Reachable) + " of " +
                            std::to_string(Input.CurrentView.members().size()) +
                            " members reachable"};
}

} // namespace jayramp
