#include "Membership/MembershipDecision.h"

#include "Membership/PeerObservation.h"
#include "Membership/ServingGate.h"
#include "Membership/View.h"

#include <algorithm>

namespace jayramp {

namespace {

auto findSilentMembers(const MembershipDecisionInput &Input,
                       const MembershipTiming &Timing, TimePoint Now)
    -> std::vector<SilentMember> {
  std::vector<SilentMember> Silent;
  for (const auto &Entry : Input.CurrentView.members()) {
    if (Entry.Name == Input.Self.Name)
      continue;
    // A member that answers peer heartbeats is running but cannot reach the
    // store. A single late answer must not remove it, because it could not
    // rejoin without the store. Waiting for the confirmation window, which is
    // longer than the contact window, does not delay a takeover: the next view
    // settles only after a confirmation window without contact anyway.
    auto Peer =
        std::find_if(Input.Peers.begin(), Input.Peers.end(),
                     [&Entry](const PeerObservation &Observation) {
                       return Observation.Name == Entry.Name &&
                              Observation.Incarnation == Entry.Incarnation;
                     });
    if (Peer != Input.Peers.end() &&
        Now - Peer->LastContactAt <= Timing.ConfirmationWindow)
      continue;
    auto Row = Input.Heartbeats.find(Entry.Name);
    if (Row == Input.Heartbeats.end() ||
        Input.RowsReadAt - Row->second.ChangedAt < Timing.SilenceLimit)
      continue;
    Silent.push_back({Entry.Name, Row->second.RowVersion});
  }
  return Silent;
}

} // namespace

auto decideMembership(const MembershipDecisionInput &Input,
                      const MembershipTiming &Timing, TimePoint Now)
    -> MembershipDecision {
  if (!Input.ViewRead || Input.Superseded)
    return KeepView();
  if (!Input.CurrentView.contains(Input.Self.Name, Input.Self.Incarnation)) {
    if (Input.RemovalRequested || Input.LeavingRequested)
      return KeepView();
    return AddSelf();
  }
  // Members are removed only from a settled view. Otherwise the members removed
  // by two successive changes could together form a majority of the first view
  // and go on serving under it.
  if (!Input.Settled)
    return KeepView();
  if (Input.RemovalRequested)
    return RemoveSelf();
  if (Input.LeavingRequested &&
      Input.CurrentView.find(Input.Self.Name)->State == MemberState::Serving)
    return MarkLeaving();
  std::size_t Required = Input.RequiredContacts == 0
                             ? Input.CurrentView.majority()
                             : Input.RequiredContacts;
  if (ServingGate::countReachableMembers(Input.CurrentView, Input.Self.Name,
                                         Input.Peers, Timing, Now) < Required)
    return KeepView();
  auto Silent = findSilentMembers(Input, Timing, Now);
  if (Silent.empty())
    return KeepView();
  return RemoveSilentMembers{std::move(Silent)};
}

} // namespace jayramp
