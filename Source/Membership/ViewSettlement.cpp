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

ViewSettlement::ViewSettlement(std::shared_ptr<const View> CurrentView,
                               const Member &Self, TimePoint LearnedAt,
                               TimePoint LastRemovedHostContactAt)
    : CurrentView(std::move(CurrentView)), SelfName(Self.Name),
      LearnedAt(LearnedAt), LastRemovedHostContactAt(LastRemovedHostContactAt) {
  IsMember = this->CurrentView->contains(Self.Name, Self.Incarnation);
}

auto ViewSettlement::update(const std::vector<PeerObservation> &Peers,
                            const MembershipTiming &Timing, TimePoint Now)
    -> void {
  if (Settled || !IsMember)
    return;
  if (!MajoritiesAdoptedAt && majoritiesHaveAdopted(Peers))
    MajoritiesAdoptedAt = Now;
  Settled = isSettled(Peers, Timing, Now);
}

auto ViewSettlement::isSettled(const std::vector<PeerObservation> &Peers,
                               const MembershipTiming &Timing,
                               TimePoint Now) const -> bool {
  if (Settled || !IsMember)
    return Settled;
  if (predecessorsHaveEnded(Peers, Timing, Now))
    return true;
  return MajoritiesAdoptedAt &&
         Now - *MajoritiesAdoptedAt > Timing.ContactWindow &&
         Now - LearnedAt > Timing.ConfirmationWindow;
}

// A newer incarnation of a member counts as well, because a host starts a new
// process only after the earlier one has ended.
auto ViewSettlement::hasAdopted(const std::string &Name,
                                const PredecessorView &Predecessor,
                                const std::vector<PeerObservation> &Peers) const
    -> bool {
  if (Name == SelfName || contains(Predecessor.ReleasedMembers, Name))
    return true;
  return std::any_of(
      Peers.begin(), Peers.end(), [&](const PeerObservation &Observation) {
        return Observation.Name == Name &&
               Observation.ViewVersion >= CurrentView->version() &&
               CurrentView->contains(Name, Observation.Incarnation);
      });
}

auto ViewSettlement::majoritiesHaveAdopted(
    const std::vector<PeerObservation> &Peers) const -> bool {
  return std::all_of(
      CurrentView->predecessors().begin(), CurrentView->predecessors().end(),
      [&](const PredecessorView &Predecessor) {
        auto Count = std::count_if(
            Predecessor.MemberNames.begin(), Predecessor.MemberNames.end(),
            [&](const std::string &Name) {
              return hasAdopted(Name, Predecessor, Peers);
            });
        return static_cast<std::size_t>(Count) >
               Predecessor.MemberNames.size() / 2;
      });
}

auto ViewSettlement::predecessorsHaveEnded(
    const std::vector<PeerObservation> &Peers, const MembershipTiming &Timing,
    TimePoint Now) const -> bool {
  bool HasRemovedMembers = false;
  for (const auto &Predecessor : CurrentView->predecessors())
    for (const auto &Name : Predecessor.MemberNames) {
      if (contains(Predecessor.ReleasedMembers, Name))
        continue;
      if (!CurrentView->find(Name))
        HasRemovedMembers = true;
      else if (!hasAdopted(Name, Predecessor, Peers))
        return false;
    }
  if (!HasRemovedMembers)
    return true;
  if (Now - LastRemovedHostContactAt <= Timing.ConfirmationWindow)
    return false;
  // Members that joined with this view cannot have passed on a confirmation of
  // an earlier one; including them in the check does no harm.
  return std::all_of(
      Peers.begin(), Peers.end(), [&](const PeerObservation &Observation) {
        return !CurrentView->contains(Observation.Name,
                                      Observation.Incarnation) ||
               Observation.ViewVersion < CurrentView->version() ||
               !Observation.LastRemovedHostContactAt ||
               Now - *Observation.LastRemovedHostContactAt >
                   Timing.ConfirmationWindow;
      });
}

} // namespace jayramp
