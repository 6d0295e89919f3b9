#include "Membership/MembershipState.h"

#include "Base/Identifier.h"
#include "Base/Overloaded.h"

#include <algorithm>

namespace jayramp {

namespace {

// If two reads of the heartbeat rows are further apart than this, a row that is
// unchanged between them does not count as silent: after a store outage its
// writer needs time to write again.
constexpr Milliseconds MaxReadGap{1500};

} // namespace

MembershipState::MembershipState(Member Self, MembershipTiming Timing,
                                 TimePoint StartedAt)
    : Self(std::move(Self)), Timing(Timing),
      CurrentView(std::make_shared<const View>()), StartedAt(StartedAt),
      LastRemovedHostContactAt(StartedAt) {
  if (this->Self.Incarnation.empty())
    this->Self.Incarnation = makeIdentifier();
  Incarnations.push_back(this->Self.Incarnation);
}

auto MembershipState::isMember() const -> bool {
  return CurrentView->contains(Self.Name, Self.Incarnation);
}

auto MembershipState::heartbeatRowVersion(const std::string &Name) const
    -> std::uint64_t {
  auto Found = Heartbeats.find(Name);
  return Found == Heartbeats.end() ? 0 : Found->second.RowVersion;
}

auto MembershipState::adopt(const View &Newer, TimePoint Now) -> bool {
  if (Newer.version() <= CurrentView->version())
    return false;
  CurrentView = std::make_shared<const View>(Newer);
  ConfirmedAt.reset();
  if (isMember()) {
    WasMember = true;
  } else if (WasMember && !RemovalRequested) {
    if (Newer.find(Self.Name)) {
      Superseded = true;
    } else {
      Self.Incarnation = makeIdentifier();
      Incarnations.push_back(Self.Incarnation);
      if (Incarnations.size() > View::MaxRecentViews + 1)
        Incarnations.erase(Incarnations.begin());
      Self.State = MemberState::Serving;
      WasMember = false;
    }
  }
  // An earlier process of this host may have confirmed a view to any host
  // shortly before this one started, so the start counts as a contact.
  LastRemovedHostContactAt = StartedAt;
  for (const auto &[Name, At] : LastReplyToPeerAt) {
    bool Released = std::any_of(
        Newer.predecessors().begin(), Newer.predecessors().end(),
        [&Key = Name](const PredecessorView &Predecessor) {
          return std::binary_search(Predecessor.ReleasedMembers.begin(),
                                    Predecessor.ReleasedMembers.end(), Key);
        });
    if (!Newer.find(Name) && !Released)
      LastRemovedHostContactAt = std::max(LastRemovedHostContactAt, At);
  }
  std::erase_if(Peers, [&Newer](const PeerObservation &Observation) {
    return !Newer.contains(Observation.Name, Observation.Incarnation);
  });
  for (const auto &Entry : Newer.members())
    Heartbeats.try_emplace(Entry.Name, HeartbeatObservation{0, Now});
  Settlement = ViewSettlement(CurrentView, Self, Now, LastRemovedHostContactAt);
  Settlement.update(Peers, Timing, Now);
  return true;
}

auto MembershipState::recordStoreConfirmation(std::uint64_t ViewVersion,
                                              TimePoint SentAt) -> void {
  if (ViewVersion != CurrentView->version() || !isMember())
    return;
  if (!ConfirmedAt || SentAt > *ConfirmedAt)
    ConfirmedAt = SentAt;
}

auto MembershipState::recordHeartbeatRows(
    const std::vector<std::pair<std::string, std::uint64_t>> &Rows,
    TimePoint SentAt, TimePoint Now) -> void {
  bool GapTooLong = !RowsReadAt || Now - *RowsReadAt > MaxReadGap;
  RowsReadAt = SentAt;
  if (GapTooLong)
    for (auto &[Name, Row] : Heartbeats)
      Row.ChangedAt = Now;
  for (const auto &[Name, Version] : Rows) {
    auto [Found, Inserted] =
        Heartbeats.try_emplace(Name, HeartbeatObservation{Version, Now});
    if (!Inserted && Found->second.RowVersion != Version)
      Found->second = {Version, Now};
  }
}

auto MembershipState::recordPeerObservation(const PeerObservation &Observation,
                                            TimePoint Now) -> void {
  if (!CurrentView->contains(Observation.Name, Observation.Incarnation))
    return;
  auto Found = std::find_if(Peers.begin(), Peers.end(),
                            [&Observation](const PeerObservation &Entry) {
                              return Entry.Name == Observation.Name;
                            });
  if (Found == Peers.end())
    Peers.push_back(Observation);
  else if (Found->LastContactAt <= Observation.LastContactAt &&
           Found->ViewVersion <= Observation.ViewVersion)
    *Found = Observation;
  Settlement.update(Peers, Timing, Now);
}

auto MembershipState::selfObservation(std::uint64_t ConfigurationVersion,
                                      TimePoint Now) const -> PeerObservation {
  PeerObservation Report;
  Report.Name = Self.Name;
  Report.Incarnation = Self.Incarnation;
  Report.LastContactAt = Now;
  Report.ViewVersion = CurrentView->version();
  Report.ConfigurationVersion = ConfigurationVersion;
  // A host that has begun to leave confirms the view to nobody any more.
  if (isMember() && !RemovalRequested)
    Report.ConfirmedAt = ServingGate::newestConfirmation(
        servingDecisionInput(ConfigurationVersion, Now));
  Report.LastRemovedHostContactAt = LastRemovedHostContactAt;
  Report.Stopping = LeavingRequested || RemovalRequested;
  return Report;
}

auto MembershipState::recordHeartbeatReply(const std::string &PeerName,
                                           const std::string &Incarnation,
                                           TimePoint Now) -> void {
  // A confirmation of the view has an effect only at a member of it.
  if (CurrentView->contains(PeerName, Incarnation))
    LastReplyToPeerAt[PeerName] = Now;
}

auto MembershipState::decide(TimePoint Now, std::size_t RequiredContacts)
    -> MembershipDecision {
  Settlement.update(Peers, Timing, Now);
  return decideMembership({.CurrentView = *CurrentView,
                           .Self = Self,
                           .Peers = Peers,
                           .Heartbeats = Heartbeats,
                           .RowsReadAt = RowsReadAt.value_or(StartedAt),
                           .ViewRead = ViewRead,
                           .Superseded = Superseded,
                           .Settled = isSettled(Now),
                           .LeavingRequested = LeavingRequested,
                           .RemovalRequested = RemovalRequested,
                           .RequiredContacts = RequiredContacts},
                          Timing, Now);
}

auto MembershipState::nextView(const MembershipDecision &Decision) const
    -> View {
  return std::visit(
      Overloaded{
          [this](const KeepView &) { return *CurrentView; },
          [this](const AddSelf &) {
            return CurrentView->withMember(Self, /*Settled=*/false);
          },
          [this](const MarkLeaving &) {
            Member LeavingSelf = Self;
            LeavingSelf.State = MemberState::Leaving;
            return CurrentView->withMember(LeavingSelf, /*Settled=*/true);
          },
          [this](const RemoveSelf &) {
            return CurrentView->withoutMembers({Self.Name}, /*Settled=*/true,
                                               /*LeftByOwnWrite=*/true);
          },
          [this](const RemoveSilentMembers &Change) {
            std::vector<std::string> Names;
            for (const auto &Entry : Change.Members)
              Names.push_back(Entry.Name);
            return CurrentView->withoutMembers(Names, /*Settled=*/true,
                                               /*LeftByOwnWrite=*/false);
          }},
      Decision);
}

auto MembershipState::servingDecision(std::uint64_t ConfigurationVersion,
                                      TimePoint Now) const -> ServingDecision {
  return ServingGate::decide(servingDecisionInput(ConfigurationVersion, Now),
                             Timing, Now);
}

auto MembershipState::isSettled(TimePoint Now) const -> bool {
  return Settlement.isSettled(Peers, Timing, Now);
}

auto MembershipState::hasMajority(TimePoint Now) const -> bool {
  return isMember() && ServingGate::countReachableMembers(
                           *CurrentView, Self.Name, Peers, Timing, Now) >=
                           CurrentView->majority();
}

auto MembershipState::servingDecisionInput(std::uint64_t ConfigurationVersion,
                                           TimePoint Now) const
    -> ServingDecisionInput {
  return {.CurrentView = *CurrentView,
          .Self = Self,
          .Peers = Peers,
          .ConfirmedAt = ConfirmedAt,
          .ConfigurationVersion = ConfigurationVersion,
          .Settled = isSettled(Now),
          .Leaving = RemovalRequested};
}

} // namespace jayramp
