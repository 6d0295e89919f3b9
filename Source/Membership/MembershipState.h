#pragma once

#include "Membership/Member.h"
#include "Membership/MembershipDecision.h"
#include "Membership/PeerObservation.h"
#include "Membership/ServingDecision.h"
#include "Membership/ServingGate.h"
#include "Membership/View.h"
#include "Membership/ViewSettlement.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jayramp {

/// What one host knows of the membership, and the decisions that follow from
/// it. Uses no threads, sockets or clock: callers pass the time in. Not
/// thread-safe.
class MembershipState {
public:
  MembershipState(Member Self, MembershipTiming Timing, TimePoint StartedAt);

  auto view() const -> const std::shared_ptr<const View> & {
    return CurrentView;
  }
  auto self() const -> const Member & { return Self; }
  /// Returns the incarnations of this process, oldest first and the current one
  /// last; at most View::MaxRecentViews + 1.
  auto incarnations() const -> const std::vector<std::string> & {
    return Incarnations;
  }
  /// Returns the newest observation of each other member that has answered.
  auto peerObservations() const -> const std::vector<PeerObservation> & {
    return Peers;
  }
  auto removalRequested() const -> bool { return RemovalRequested; }
  /// Returns whether a newer process of the same host name has joined the view.
  auto isSuperseded() const -> bool { return Superseded; }
  /// Returns whether this incarnation of the host is in the current view.
  auto isMember() const -> bool;
  /// Returns the last read version of a host's heartbeat row; 0 if none has
  /// been read.
  auto heartbeatRowVersion(const std::string &Name) const -> std::uint64_t;

  /// Replaces the current view by \p Newer; returns false, without effect, if
  /// it is not newer. If this host has been removed, it gets a new incarnation.
  auto adopt(const View &Newer, TimePoint Now) -> bool;
  /// Records that the view row has been read from the store.
  auto markViewRead() -> void { ViewRead = true; }
  /// Records that the store, in a call sent at \p SentAt, wrote this host's
  /// heartbeat row on condition that the view still has \p ViewVersion.
  auto recordStoreConfirmation(std::uint64_t ViewVersion, TimePoint SentAt)
      -> void;
  /// Records the heartbeat rows (host name and row version) returned by a read
  /// sent at \p SentAt; rows that did not change may be absent.
  auto recordHeartbeatRows(
      const std::vector<std::pair<std::string, std::uint64_t>> &Rows,
      TimePoint SentAt, TimePoint Now) -> void;
  /// Records the answer of a peer to a heartbeat; ignored if that incarnation
  /// of the peer is not in the current view.
  auto recordPeerObservation(const PeerObservation &Observation, TimePoint Now)
      -> void;
  /// Returns what this host reports of itself in its heartbeats; the times are
  /// on its own clock.
  auto selfObservation(std::uint64_t ConfigurationVersion, TimePoint Now) const
      -> PeerObservation;
  /// Records that a heartbeat of this incarnation of a peer has been answered
  /// with selfObservation().
  auto recordHeartbeatReply(const std::string &PeerName,
                            const std::string &Incarnation, TimePoint Now)
      -> void;

  auto requestLeaving() -> void { LeavingRequested = true; }
  auto requestRemoval() -> void { RemovalRequested = true; }

  /// Returns the change of the view that this host should write next. See
  /// MembershipDecisionInput for \p RequiredContacts.
  auto decide(TimePoint Now, std::size_t RequiredContacts = 0)
      -> MembershipDecision;
  /// Returns the view that results from applying \p Decision.
  auto nextView(const MembershipDecision &Decision) const -> View;
  /// Returns whether this host may serve; \p ConfigurationVersion is the
  /// version in force on it.
  auto servingDecision(std::uint64_t ConfigurationVersion, TimePoint Now) const
      -> ServingDecision;
  /// Returns whether no host can still serve under an earlier view.
  auto isSettled(TimePoint Now) const -> bool;
  /// Returns whether a majority of the view, this host included, is reachable
  /// and holds the same view.
  auto hasMajority(TimePoint Now) const -> bool;

private:
  auto servingDecisionInput(std::uint64_t ConfigurationVersion,
                            TimePoint Now) const -> ServingDecisionInput;

  Member Self;
  MembershipTiming Timing;
  std::shared_ptr<const View> CurrentView;
  ViewSettlement Settlement;
  std::vector<PeerObservation> Peers;
  std::map<std::string, HeartbeatObservation> Heartbeats; ///< By host name.
  /// By peer name: when this host last answered a heartbeat of the peer.
  std::map<std::string, TimePoint> LastReplyToPeerAt;
  /// When the newest call that confirmed the current view was sent.
  std::optional<TimePoint> ConfirmedAt;
  /// When the newest successful read of the heartbeat rows was sent.
  std::optional<TimePoint> RowsReadAt;
  TimePoint StartedAt;
  /// Newest time at which this host may have confirmed an earlier view to a
  /// host that is not in the current one.
  TimePoint LastRemovedHostContactAt;
  bool ViewRead = false;
  std::vector<std::string> Incarnations;
  bool WasMember = false; ///< A view has contained the current incarnation.
  bool Superseded = false;
  bool LeavingRequested = false;
  bool RemovalRequested = false;
};

} // namespace jayramp
