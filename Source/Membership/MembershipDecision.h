#pragma once

#include "Membership/MembershipTiming.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jayramp {

class View;
struct Member;
struct PeerObservation;

/// The newest state of a host's heartbeat row that this host has read.
struct HeartbeatObservation {
  std::uint64_t RowVersion = 0; ///< 0 if no row has been read.
  /// When this host first read this version, or resumed reading after a gap.
  TimePoint ChangedAt;

  auto operator==(const HeartbeatObservation &) const -> bool = default;
};

/// Leaves the view unchanged.
struct KeepView {
  auto operator==(const KeepView &) const -> bool = default;
};

/// Adds this host, in place of an older incarnation of it if there is one.
struct AddSelf {
  auto operator==(const AddSelf &) const -> bool = default;
};

/// Marks this host as Leaving: it hands over its racks and shards but stays a
/// member.
struct MarkLeaving {
  auto operator==(const MarkLeaving &) const -> bool = default;
};

/// Removes this host.
struct RemoveSelf {
  auto operator==(const RemoveSelf &) const -> bool = default;
};

/// A member whose heartbeat row has not changed for the silence limit.
struct SilentMember {
  std::string Name;
  /// Version of its heartbeat row. The write that removes the member must
  /// check it, so that it fails if the member has written a heartbeat since.
  std::uint64_t RowVersion = 0;

  auto operator==(const SilentMember &) const -> bool = default;
};

/// Removes silent members.
struct RemoveSilentMembers {
  std::vector<SilentMember> Members;

  auto operator==(const RemoveSilentMembers &) const -> bool = default;
};

using MembershipDecision = std::variant<KeepView, AddSelf, MarkLeaving,
                                        RemoveSelf, RemoveSilentMembers>;

/// The input of decideMembership(). The references must outlive the call.
struct MembershipDecisionInput {
  const View &CurrentView;
  const Member &Self;
  const std::vector<PeerObservation> &Peers;
  const std::map<std::string, HeartbeatObservation> &Heartbeats;
  /// When the request for the newest read of the heartbeat rows was sent.
  TimePoint RowsReadAt;
  /// The view row has been read from the store at least once.
  bool ViewRead = false;
  /// A newer process of the same host name has joined the view.
  bool Superseded = false;
  /// No host can still serve under an earlier view; see ViewSettlement.
  bool Settled = false;
  bool LeavingRequested = false; ///< This host is to be marked as Leaving.
  bool RemovalRequested = false; ///< This host is to leave the view.
  /// Number of reachable members, this host included, that a removal of other
  /// members requires; 0 means a majority of the view. Only tests set another
  /// value.
  std::size_t RequiredContacts = 0;
};

/// Returns the change of the view that this host should write next, or
/// KeepView.
auto decideMembership(const MembershipDecisionInput &Input,
                      const MembershipTiming &Timing, TimePoint Now)
    -> MembershipDecision;

} // namespace jayramp
