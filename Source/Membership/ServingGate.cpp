#include "Membership/ServingGate.h"

#include "Membership/PeerObservation.h"
#include "Membership/View.h"

#include <algorithm>

namespace jayramp {

auto toString(ServingRefusalReason Refusal) -> std::string_view {
  switch (Refusal) {
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
    const View &Current, std::string_view SelfName,
    const std::vector<PeerObservation> &Peers, const MembershipTiming &Timing,
    TimePoint Now) -> std::size_t {
  auto Reached = std::count_if(
      Peers.begin(), Peers.end(), [&](const PeerObservation &Seen) {
        return Seen.Name != SelfName &&
               Current.contains(Seen.Name, Seen.Incarnation) &&
               Seen.ViewVersion == Current.version() &&
               Now - Seen.LastContactAt <= Timing.ContactWindow;
      });
  return static_cast<std::size_t>(Reached) + 1;
}

auto ServingGate::newestConfirmation(const ServingDecisionInput &Facts)
    -> std::optional<TimePoint> {
  auto Newest = Facts.ConfirmedAt;
  for (const auto &Seen : Facts.Peers) {
    if (!Seen.ConfirmedAt || Seen.ViewVersion != Facts.Current.version() ||
        !Facts.Current.contains(Seen.Name, Seen.Incarnation))
      continue;
    // The peer confirmed a configuration that is not in force here yet.
    if (Seen.ConfigurationVersion > Facts.ConfigurationVersion)
      continue;
    if (!Newest || *Seen.ConfirmedAt > *Newest)
      Newest = Seen.ConfirmedAt;
  }
  return Newest;
}

auto ServingGate::decide(const ServingDecisionInput &Facts,
                         const MembershipTiming &Timing, TimePoint Now)
    -> ServingDecision {
  std::uint64_t Version = Facts.Current.version();
  if (Facts.Leaving)
    return ServingRefused{ServingRefusalReason::Leaving,
                          "this entry host leaves the view"};
  if (!Facts.Current.contains(Facts.Self.Name, Facts.Self.Incarnation))
    return ServingRefused{ServingRefusalReason::NotMember,
                          "this entry host is not in view " +
                              std::to_string(Version)};
  bool NewerSeen = std::any_of(
      Facts.Peers.begin(), Facts.Peers.end(),
      [&](const PeerObservation &Seen) { return Seen.ViewVersion > Version; });
  if (NewerSeen)
    return ServingRefused{ServingRefusalReason::StaleView,
                          "a peer holds a newer view than " +
                              std::to_string(Version)};
  if (!Facts.Settled)
    return ServingRefused{ServingRefusalReason::Rebalancing,
                          "an earlier view than " + std::to_string(Version) +
                              " may still be served"};
  auto Confirmed = newestConfirmation(Facts);
  if (Confirmed && Now - *Confirmed < Timing.ConfirmationWindow)
    return ServingPermitted{Version, false};
  // A contact with a recent confirmation that does not count here holds a newer
  // configuration, so this is not a total outage.
  bool OthersConfirmed = std::any_of(
      Facts.Peers.begin(), Facts.Peers.end(), [&](const PeerObservation &Seen) {
        return Seen.ConfirmedAt &&
               Now - *Seen.ConfirmedAt < Timing.ConfirmationWindow &&
               Now - Seen.LastContactAt <= Timing.ContactWindow;
      });
  std::size_t Reached = countReachableMembers(Facts.Current, Facts.Self.Name,
                                              Facts.Peers, Timing, Now);
  if (!OthersConfirmed && Reached >= Facts.Current.majority())
    return ServingPermitted{Version, true};
  return ServingRefused{ServingRefusalReason::StaleView,
                        "no confirmation within the window and " +
                            std::to_string(Reached) + " of " +
                            std::to_string(Facts.Current.members().size()) +
                            " members in contact"};
}

} // namespace jayramp
