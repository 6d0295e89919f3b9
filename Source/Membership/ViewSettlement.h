#pragma once

#include "Membership/MembershipTiming.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jayramp {

class View;
struct PredecessorView;
struct Member;
struct PeerObservation;

/// Decides when a view has certainly replaced its predecessors, so that serving
/// under it cannot coincide with serving under an older one. That is so when
/// one of these holds for every predecessor:
/// - each of its members has adopted this view or left by its own write, or was
///   removed and no adopting member has passed a confirmation to a removed host
///   for the confirmation window;
/// - a majority of it has adopted this view, the contact window has passed
///   since, and the confirmation window has passed since this view was learned.
/// In both cases every confirmation of the predecessor has run out, and none of
/// its majorities can meet again. Pure; not thread-safe.
class ViewSettlement {
public:
  ViewSettlement() = default;
  /// \p LastRemovedHostContactAt: newest time at which this host itself may
  /// have confirmed an earlier view to a host that is not in \p Current.
  ViewSettlement(std::shared_ptr<const View> Current, const Member &Self,
                 TimePoint LearnedAt, TimePoint LastRemovedHostContactAt);

  /// Takes new observations into account.
  auto update(const std::vector<PeerObservation> &Peers,
              const MembershipTiming &Timing, TimePoint Now) -> void;

  /// Whether the view has settled; once true, it stays true.
  auto settled(const std::vector<PeerObservation> &Peers,
               const MembershipTiming &Timing, TimePoint Now) const -> bool;

private:
  auto adopted(const std::string &Name, const PredecessorView &Earlier,
               const std::vector<PeerObservation> &Peers) const -> bool;
  auto majoritiesAdopted(const std::vector<PeerObservation> &Peers) const
      -> bool;
  auto allEnded(const std::vector<PeerObservation> &Peers,
                const MembershipTiming &Timing, TimePoint Now) const -> bool;

  std::shared_ptr<const View> Current;
  std::string SelfName;
  TimePoint LearnedAt;
  TimePoint LastRemovedHostContactAt;
  std::optional<TimePoint> MajoritySince;
  bool Settled = false;
  bool InView = false; ///< This host is a member.
};

} // namespace jayramp
