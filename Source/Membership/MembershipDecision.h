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

/// The heartbeat row of a host as its observer sees it.
struct HeartbeatObservation {
  std::uint64_t RowVersion = 0; ///< 0: no row.
  /// When the observer first saw this version, or began to read again after a
  /// gap.
  TimePoint ChangedAt;

  auto operator==(const HeartbeatObservation &) const -> bool = default;
};

/// Nothing to write.
struct KeepView {
  auto operator==(const KeepView &) const -> bool = default;
};

/// This host joins, or replaces an older incarnation of itself.
struct AddSelf {
  auto operator==(const AddSelf &) const -> bool = default;
};

/// This host hands over its racks and shards but stays a member.
struct MarkLeaving {
  auto operator==(const MarkLeaving &) const -> bool = default;
};

/// This host leaves.
struct RemoveSelf {
  auto operator==(const RemoveSelf &) const -> bool = default;
};

/// A member that has been silent.
struct SilentMember {
  std::string Name;
  /// Version of its heartbeat row. The write must check it, so that the member
  /// had written nothing for the silence limit when the write took effect.
  std::uint64_t RowVersion = 0;

  auto operator==(const SilentMember &) const -> bool = default;
};

/// These members are removed.
struct RemoveSilentMembers {
  std::vector<SilentMember> Members;

  auto operator==(const RemoveSilentMembers &) const -> bool = default;
};

using MembershipDecision = std::variant<KeepView, AddSelf, MarkLeaving,
                                        RemoveSelf, RemoveSilentMembers>;

/// What decideMembership() judges. The references must outlive the call.
struct MembershipDecisionInput {
  const View &Current;
  const Member &Self;
  const std::vector<PeerObservation> &Peers;
  const std::map<std::string, HeartbeatObservation> &Heartbeats;
  TimePoint ReadAt; ///< When the newest read of the heartbeat rows was sent.
  bool ViewRead = false;   ///< The view row has been read at least once.
  bool Superseded = false; ///< A newer process of the same name has joined.
  bool Settled = false;    ///< No earlier view may still be served.
  bool WantsLeaving = false;
  bool WantsRemoval = false;
  /// Members in contact, this host included, that a removal needs; 0 stands
  /// for a majority of the view. Only tests set another value.
  std::size_t RequiredContacts = 0;
};

/// The change of the view that this host should write, if any.
auto decideMembership(const MembershipDecisionInput &Facts,
                      const MembershipTiming &Timing, TimePoint Now)
    -> MembershipDecision;

} // namespace jayramp
