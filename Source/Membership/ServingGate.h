#pragma once

#include "Membership/MembershipTiming.h"
#include "Membership/ServingDecision.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace jayramp {

class View;
struct Member;
struct PeerObservation;

/// The input of ServingGate. The references must outlive the call.
struct ServingDecisionInput {
  const View &CurrentView;
  const Member &Self;
  const std::vector<PeerObservation> &Peers;
  /// When this host sent its newest store call that confirmed the current view.
  std::optional<TimePoint> ConfirmedAt;
  std::uint64_t ConfigurationVersion = 0; ///< In force on this host.
  /// No host can still serve under an earlier view; see ViewSettlement.
  bool Settled = false;
  bool Leaving = false; ///< This host has begun to leave the view.
};

/// Decides whether this host may serve. Serving is permitted while a recent
/// confirmation of the view from the store is known, or, in a total store
/// outage, while a majority of the view is reachable. Has no state; the time is
/// an argument.
class ServingGate {
public:
  static auto decide(const ServingDecisionInput &Input,
                     const MembershipTiming &Timing, TimePoint Now)
      -> ServingDecision;

  /// Returns the number of reachable members that hold exactly this view, this
  /// host included.
  static auto countReachableMembers(const View &CurrentView,
                                    std::string_view SelfName,
                                    const std::vector<PeerObservation> &Peers,
                                    const MembershipTiming &Timing,
                                    TimePoint Now) -> std::size_t;

  /// Returns the time of the newest confirmation of the current view, made by
  /// this host or reported by a member; empty if there is none.
  static auto newestConfirmation(const ServingDecisionInput &Input)
      -> std::optional<TimePoint>;
};

} // namespace jayramp
