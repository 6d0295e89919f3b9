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

/// Decides when a view is settled, that is, when no host can still serve under
/// one of its predecessors, so that two views are never served at the same
/// time. A view is settled when one of these holds for every predecessor:
/// - each of its members has adopted this view or left by its own write, or was
///   removed and no member that adopted this view has passed a confirmation to
///   a removed host within the confirmation window;
/// - a majority of its members has adopted this view, the contact window has
///   passed since, and the confirmation window has passed since this host
///   adopted this view.
/// In both cases every confirmation of the predecessor has expired, and no
/// majority of its members can be in contact under it again. The time is an
/// argument. Not thread-safe.
class ViewSettlement {
public:
  ViewSettlement() = default;
  /// \p LearnedAt is when this host adopted \p CurrentView.
  /// \p LastRemovedHostContactAt is the newest time at which this host itself
  /// may have confirmed an earlier view to a host that is not in
  /// \p CurrentView.
  ViewSettlement(std::shared_ptr<const View> CurrentView, const Member &Self,
                 TimePoint LearnedAt, TimePoint LastRemovedHostContactAt);

  /// Evaluates new observations; must be called whenever \p Peers has changed.
  auto update(const std::vector<PeerObservation> &Peers,
              const MembershipTiming &Timing, TimePoint Now) -> void;

  /// Returns whether the view is settled. Always false if this host is not a
  /// member.
  auto isSettled(const std::vector<PeerObservation> &Peers,
                 const MembershipTiming &Timing, TimePoint Now) const -> bool;

private:
  /// Returns whether the member \p Name of \p Predecessor has adopted the
  /// current view or left by its own write.
  auto hasAdopted(const std::string &Name, const PredecessorView &Predecessor,
                  const std::vector<PeerObservation> &Peers) const -> bool;
  /// Returns whether a majority of every predecessor has adopted the view.
  auto majoritiesHaveAdopted(const std::vector<PeerObservation> &Peers) const
      -> bool;
  /// Returns whether the first condition above holds for every predecessor.
  auto predecessorsHaveEnded(const std::vector<PeerObservation> &Peers,
                             const MembershipTiming &Timing,
                             TimePoint Now) const -> bool;

  std::shared_ptr<const View> CurrentView;
  std::string SelfName;
  TimePoint LearnedAt;
  TimePoint LastRemovedHostContactAt;
  std::optional<TimePoint> MajoritiesAdoptedAt;
  bool Settled = false;
  bool IsMember = false; ///< This host is in the current view.
};

} // namespace jayramp
