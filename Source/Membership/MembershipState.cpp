#include "Membership/MembershipState.h"

#include "Base/Identifier.h"
#include "Base/Overloaded.h"

#include <algorithm>

namespace jayramp {

namespace {

// Reads further apart than this do not show that a row stayed unchanged for
// the whole time: after an outage the writers need time to write again.
constexpr Milliseconds LongestReadGap{1500};

} // namespace

MembershipState::MembershipState(Member Self, MembershipTiming Timing,
                                 TimePoint Start)
    : Self(std::move(Self)), Timing(Timing),
      Current(std::make_shared<const View>()), Start(Start),
      LastRemovedHostContactAt(Start) {
  if (this->Self.Incarnation.empty())
    this->Self.Incarnation = makeIdentifier();
  Incarnations.push_back(this->Self.Incarnation);
}

auto MembershipState::isMember() const -> bool {
  return Current->contains(Self.Name, Self.Incarnation);
}

auto MembershipState::heartbeatVersion(const std::string &Name) const
    -> std::uint64_t {
  auto Found = Heartbeats.find(Name);
  return Found == Heartbeats.end() ? 0 : Found->second.RowVersion;
}

auto MembershipState::adopt(const View &Newer, TimePoint Now) -> bool {
  if (Newer.version() <= Current->version())
    return false;
  Current = std::make_shared<const View>(Newer);
  ConfirmedAt.reset();
  if (isMember()) {
    WasMember = true;
  } else if (WasMember && !WantsRemoval) {
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
  // The start counts as a contact, because an earlier process of this host may
  // have confirmed a view to anyone shortly before.
  LastRemovedHostContactAt = Start;
  for (const auto &[Name, At] : AnsweredAt) {
    bool Released =
        std::any_of(Newer.predecessors().begin(), Newer.predecessors().end(),
                    [&Key = Name](const PredecessorView &Earlier) {
                      return std::binary_search(Earlier.Released.begin(),
                                                Earlier.Released.end(), Key);
                    });
    if (!Newer.find(Name) && !Released)
      LastRemovedHostContactAt = std::max(LastRemovedHostContactAt, At);
  }
  std::erase_if(Peers, [&Newer](const PeerObservation &Seen) {
    return !Newer.contains(Seen.Name, Seen.Incarnation);
  });
  for (const auto &Entry : Newer.members())
    Heartbeats.try_emplace(Entry.Name, HeartbeatObservation{0, Now});
  Settlement = ViewSettlement(Current, Self, Now, LastRemovedHostContactAt);
  Settlement.update(Peers, Timing, Now);
  return true;
}

auto MembershipState::confirm(std::uint64_t ViewVersion, TimePoint SentAt)
    -> void {
  if (ViewVersion != Current->version() || !isMember())
    return;
  if (!ConfirmedAt || SentAt > *ConfirmedAt)
    ConfirmedAt = SentAt;
}

auto MembershipState::observeRows(
    const std::vector<std::pair<std::string, std::uint64_t>> &Rows,
    TimePoint SentAt, TimePoint Now) -> void {
  bool Gap = !ReadAt || Now - *ReadAt > LongestReadGap;
  ReadAt = SentAt;
  if (Gap)
    for (auto &[Name, Row] : Heartbeats)
      Row.ChangedAt = Now;
  for (const auto &[Name, Version] : Rows) {
    auto [Found, Inserted] =
        Heartbeats.try_emplace(Name, HeartbeatObservation{Version, Now});
    if (!Inserted && Found->second.RowVersion != Version)
      Found->second = {Version, Now};
  }
}

auto MembershipState::observePeer(const PeerObservation &Seen, TimePoint Now)
    -> void {
  if (!Current->contains(Seen.Name, Seen.Incarnation))
    return;
  auto Found = std::find_if(Peers.begin(), Peers.end(),
                            [&Seen](const PeerObservation &Entry) {
                              return Entry.Name == Seen.Name;
                            });
  if (Found == Peers.end())
    Peers.push_back(Seen);
  else if (Found->LastContactAt <= Seen.LastContactAt &&
           Found->ViewVersion <= Seen.ViewVersion)
    *Found = Seen;
  Settlement.update(Peers, Timing, Now);
}

auto MembershipState::report(std::uint64_t ConfigurationVersion,
                             TimePoint Now) const -> PeerObservation {
  PeerObservation Report;
  Report.Name = Self.Name;
  Report.Incarnation = Self.Incarnation;
  Report.LastContactAt = Now;
  Report.ViewVersion = Current->version();
  Report.ConfigurationVersion = ConfigurationVersion;
  // A host that has begun to leave confirms nothing more.
  if (isMember() && !WantsRemoval)
    Report.ConfirmedAt =
        ServingGate::newestConfirmation(facts(ConfigurationVersion, Now));
  Report.LastRemovedHostContactAt = LastRemovedHostContactAt;
  Report.Stopping = WantsLeaving || WantsRemoval;
  return Report;
}

auto MembershipState::noteAnswered(const std::string &PeerName,
                                   const std::string &Incarnation,
                                   TimePoint Now) -> void {
  // Only a member of the view can make use of its confirmation.
  if (Current->contains(PeerName, Incarnation))
    AnsweredAt[PeerName] = Now;
}

auto MembershipState::decide(TimePoint Now, std::size_t RequiredContacts)
    -> MembershipDecision {
  Settlement.update(Peers, Timing, Now);
  return decideMembership({.Current = *Current,
                           .Self = Self,
                           .Peers = Peers,
                           .Heartbeats = Heartbeats,
                           .ReadAt = ReadAt.value_or(Start),
                           .ViewRead = ViewRead,
                           .Superseded = Superseded,
                           .Settled = settled(Now),
                           .WantsLeaving = WantsLeaving,
                           .WantsRemoval = WantsRemoval,
                           .RequiredContacts = RequiredContacts},
                          Timing, Now);
}

auto MembershipState::successor(const MembershipDecision &Decision) const
    -> View {
  return std::visit(
      Overloaded{
          [this](const KeepView &) { return *Current; },
          [this](const AddSelf &) { return Current->withMember(Self, false); },
          [this](const MarkLeaving &) {
            Member Marked = Self;
            Marked.State = MemberState::Leaving;
            return Current->withMember(Marked, true);
          },
          [this](const RemoveSelf &) {
            return Current->withoutMembers({Self.Name}, true, true);
          },
          [this](const RemoveSilentMembers &Change) {
            std::vector<std::string> Names;
            for (const auto &Entry : Change.Members)
              Names.push_back(Entry.Name);
            return Current->withoutMembers(Names, true, false);
          }},
      Decision);
}

auto MembershipState::servingDecision(std::uint64_t ConfigurationVersion,
                                      TimePoint Now) const -> ServingDecision {
  return ServingGate::decide(facts(ConfigurationVersion, Now), Timing, Now);
}

auto MembershipState::settled(TimePoint Now) const -> bool {
  return Settlement.settled(Peers, Timing, Now);
}

auto MembershipState::hasMajority(TimePoint Now) const -> bool {
  return isMember() &&
         ServingGate::countReachableMembers(*Current, Self.Name, Peers, Timing,
                                            Now) >= Current->majority();
}

auto MembershipState::facts(std::uint64_t ConfigurationVersion,
                            TimePoint Now) const -> ServingDecisionInput {
  return {.Current = *Current,
          .Self = Self,
          .Peers = Peers,
          .ConfirmedAt = ConfirmedAt,
          .ConfigurationVersion = ConfigurationVersion,
          .Settled = settled(Now),
          .Leaving = WantsRemoval};
}

} // namespace jayramp
