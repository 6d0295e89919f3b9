#include "Membership/ViewSettlement.h"

#include "Membership/PeerObservation.h"
#include "Membership/View.h"

#include <algorithm>
#include <utility>

namespace jayramp {

namespace {

auto contains(const std::vector<std::string> &Names, const std::string &Name)
    -> bool {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

} // namespace

ViewSettlement::ViewSettlement(std::shared_ptr<const View> Current,
                               const Member &Self, TimePoint LearnedAt,
                               TimePoint LastRemovedHostContactAt)
    : Current(std::move(Current)), SelfName(Self.Name), LearnedAt(LearnedAt),
      LastRemovedHostContactAt(LastRemovedHostContactAt) {
  InView = this->Current->contains(Self.Name, Self.Incarnation);
}

auto ViewSettlement::update(const std::vector<PeerObservation> &Peers,
                            const MembershipTiming &Timing, TimePoint Now)
    -> void {
  if (Settled || !InView)
    return;
  if (!MajoritySince && majoritiesAdopted(Peers))
    MajoritySince = Now;
  Settled = settled(Peers, Timing, Now);
}

auto ViewSettlement::settled(const std::vector<PeerObservation> &Peers,
                             const MembershipTiming &Timing,
                             TimePoint Now) const -> bool {
  if (Settled || !InView)
    return Settled;
  if (allEnded(Peers, Timing, Now))
    return true;
  return MajoritySince && Now - *MajoritySince > Timing.ContactWindow &&
         Now - LearnedAt > Timing.ConfirmationWindow;
}

// A member of the same name in another incarnation counts as well: a host
// starts again only after its earlier process has ended.
auto ViewSettlement::adopted(const std::string &Name,
                             const PredecessorView &Earlier,
                             const std::vector<PeerObservation> &Peers) const
    -> bool {
  if (Name == SelfName || contains(Earlier.Released, Name))
    return true;
  return std::any_of(
      Peers.begin(), Peers.end(), [&](const PeerObservation &Seen) {
        return Seen.Name == Name && Seen.ViewVersion >= Current->version() &&
               Current->contains(Name, Seen.Incarnation);
      });
}

auto ViewSettlement::majoritiesAdopted(
    const std::vector<PeerObservation> &Peers) const -> bool {
  return std::all_of(
      Current->predecessors().begin(), Current->predecessors().end(),
      [&](const PredecessorView &Earlier) {
        auto Count = std::count_if(Earlier.Names.begin(), Earlier.Names.end(),
                                   [&](const std::string &Name) {
                                     return adopted(Name, Earlier, Peers);
                                   });
        return static_cast<std::size_t>(Count) > Earlier.Names.size() / 2;
      });
}

auto ViewSettlement::allEnded(const std::vector<PeerObservation> &Peers,
                              const MembershipTiming &Timing,
                              TimePoint Now) const -> bool {
  bool AnyRemoved = false;
  for (const auto &Earlier : Current->predecessors())
    for (const auto &Name : Earlier.Names) {
      if (contains(Earlier.Released, Name))
        continue;
      if (!Current->find(Name))
        AnyRemoved = true;
      else if (!adopted(Name, Earlier, Peers))
        return false;
    }
  if (!AnyRemoved)
    return true;
  if (Now - LastRemovedHostContactAt <= Timing.ConfirmationWindow)
    return false;
  // Members that joined with this view have passed on no confirmation of an
  // earlier one, but asking them as well costs nothing.
  return std::all_of(
      Peers.begin(), Peers.end(), [&](const PeerObservation &Seen) {
        return !Current->contains(Seen.Name, Seen.Incarnation) ||
               Seen.ViewVersion < Current->version() ||
               !Seen.LastRemovedHostContactAt ||
               Now - *Seen.LastRemovedHostContactAt > Timing.ConfirmationWindow;
      });
}

} // namespace jayramp
