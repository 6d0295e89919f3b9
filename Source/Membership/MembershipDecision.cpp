#include "Membership/MembershipDecision.h"

#include "Membership/PeerObservation.h"
#include "Membership/ServingGate.h"
#include "Membership/View.h"

#include <algorithm>

namespace jayramp {

namespace {

auto silentMembers(const MembershipDecisionInput &Facts,
                   const MembershipTiming &Timing, TimePoint Now)
    -> std::vector<SilentMember> {
  std::vector<SilentMember> Silent;
  for (const auto &Entry : Facts.Current.members()) {
    if (Entry.Name == Facts.Self.Name)
      continue;
    // A member that answers its peers is alive: it is cut off from the store.
    // One late answer must not cost it its place, which it could not regain
    // without the store. Waiting longer than the contact window delays no
    // takeover, because the next view settles only after the confirmation
    // window without contact.
    auto Peer = std::find_if(Facts.Peers.begin(), Facts.Peers.end(),
                             [&Entry](const PeerObservation &Seen) {
                               return Seen.Name == Entry.Name &&
                                      Seen.Incarnation == Entry.Incarnation;
                             });
    if (Peer != Facts.Peers.end() &&
        Now - Peer->LastContactAt <= Timing.ConfirmationWindow)
      continue;
    auto Row = Facts.Heartbeats.find(Entry.Name);
    if (Row == Facts.Heartbeats.end() ||
        Facts.ReadAt - Row->second.ChangedAt < Timing.SilenceLimit)
      continue;
    Silent.push_back({Entry.Name, Row->second.RowVersion});
  }
  return Silent;
}

} // namespace

auto decideMembership(const MembershipDecisionInput &Facts,
                      const MembershipTiming &Timing, TimePoint Now)
    -> MembershipDecision {
  if (!Facts.ViewRead || Facts.Superseded)
    return KeepView();
  if (!Facts.Current.contains(Facts.Self.Name, Facts.Self.Incarnation)) {
    if (Facts.WantsRemoval || Facts.WantsLeaving)
      return KeepView();
    return AddSelf();
  }
  // Only a settled view may lose members: otherwise the members removed by two
  // changes in succession could together be a majority of the first view.
  if (!Facts.Settled)
    return KeepView();
  if (Facts.WantsRemoval)
    return RemoveSelf();
  if (Facts.WantsLeaving &&
      Facts.Current.find(Facts.Self.Name)->State == MemberState::Serving)
    return MarkLeaving();
  std::size_t Required = Facts.RequiredContacts == 0 ? Facts.Current.majority()
                                                     : Facts.RequiredContacts;
  if (ServingGate::countReachableMembers(Facts.Current, Facts.Self.Name,
                                         Facts.Peers, Timing, Now) < Required)
    return KeepView();
  auto Silent = silentMembers(Facts, Timing, Now);
  if (Silent.empty())
    return KeepView();
  return RemoveSilentMembers{std::move(Silent)};
}

} // namespace jayramp
