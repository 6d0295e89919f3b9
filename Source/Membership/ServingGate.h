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

/// What ServingGate judges. The references must outlive the call.
struct ServingDecisionInput {
  const View &Current;
  const Member &Self;
  const std::vector<PeerObservation> &Peers;
  /// When this host itself last confirmed the view from the store.
  std::optional<TimePoint> ConfirmedAt;
  std::uint64_t ConfigurationVersion = 0;
  bool Settled = false; ///< No earlier view may still be served.
  bool Leaving = false; ///< This host has begun to leave the view.
};

/// Decides whether this host may serve. Pure: the time is an argument.
class ServingGate {
public:
  static auto decide(const ServingDecisionInput &Facts,
                     const MembershipTiming &Timing, TimePoint Now)
      -> ServingDecision;

  /// Members in contact that hold exactly this view, this host included.
  static auto countReachableMembers(const View &Current,
                                    std::string_view SelfName,
                                    const std::vector<PeerObservation> &Peers,
                                    const MembershipTiming &Timing,
                                    TimePoint Now) -> std::size_t;

  /// The newest confirmation of the current view, made by this host or passed
  /// on by a member; empty if there is none.
  static auto newestConfirmation(const ServingDecisionInput &Facts)
      -> std::optional<TimePoint>;
};

} // namespace jayramp
