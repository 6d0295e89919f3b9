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

/// All that one host knows of the membership. Holds no threads and no sockets;
/// the time is an argument. Not thread-safe.
class MembershipState {
public:
  MembershipState(Member Self, MembershipTiming Timing, TimePoint Start);

  auto view() const -> const std::shared_ptr<const View> & { return Current; }
  auto self() const -> const Member & { return Self; }
  /// Incarnations of this process, oldest first, the present one last; as
  /// many as a view records earlier views, and one more.
  auto incarnations() const -> const std::vector<std::string> & {
    return Incarnations;
  }
  auto peerObservations() const -> const std::vector<PeerObservation> & {
    return Peers;
  }
  auto leaving() const -> bool { return WantsRemoval; }
  auto superseded() const -> bool { return Superseded; }
  auto isMember() const -> bool;
  /// Version of a host's heartbeat row; 0 if none has been seen.
  auto heartbeatVersion(const std::string &Name) const -> std::uint64_t;

  /// Takes over \p Newer; false if it is not newer than the current view. A
  /// host that finds itself removed takes a new incarnation.
  auto adopt(const View &Newer, TimePoint Now) -> bool;
  /// The view row has been read from the store.
  auto noteViewRead() -> void { ViewRead = true; }
  /// The store confirmed \p ViewVersion, together with a write of this host's
  /// own heartbeat row, to a call sent at \p SentAt.
  auto confirm(std::uint64_t ViewVersion, TimePoint SentAt) -> void;
  /// A read of the heartbeat rows sent at \p SentAt gave these rows (name and
  /// version); rows that did not change may be absent.
  auto
  observeRows(const std::vector<std::pair<std::string, std::uint64_t>> &Rows,
              TimePoint SentAt, TimePoint Now) -> void;
  auto observePeer(const PeerObservation &Seen, TimePoint Now) -> void;
  /// What this host reports in its heartbeats; the times are on its own clock.
  auto report(std::uint64_t ConfigurationVersion, TimePoint Now) const
      -> PeerObservation;
  /// A heartbeat of this incarnation of a peer is answered with report().
  auto noteAnswered(const std::string &PeerName, const std::string &Incarnation,
                    TimePoint Now) -> void;

  auto requestLeaving() -> void { WantsLeaving = true; }
  auto requestRemoval() -> void { WantsRemoval = true; }

  /// \p RequiredContacts as in MembershipDecisionInput.
  auto decide(TimePoint Now, std::size_t RequiredContacts = 0)
      -> MembershipDecision;
  /// The view that carries out \p Decision.
  auto successor(const MembershipDecision &Decision) const -> View;
  auto servingDecision(std::uint64_t ConfigurationVersion, TimePoint Now) const
      -> ServingDecision;
  auto settled(TimePoint Now) const -> bool;
  auto hasMajority(TimePoint Now) const -> bool;

private:
  auto facts(std::uint64_t ConfigurationVersion, TimePoint Now) const
      -> ServingDecisionInput;

  Member Self;
  MembershipTiming Timing;
  std::shared_ptr<const View> Current;
  ViewSettlement Settlement;
  std::vector<PeerObservation> Peers;
  std::map<std::string, HeartbeatObservation> Heartbeats;
  std::map<std::string, TimePoint> AnsweredAt;
  std::optional<TimePoint> ConfirmedAt;
  std::optional<TimePoint> ReadAt; ///< Newest successful read was sent then.
  TimePoint Start;
  TimePoint LastRemovedHostContactAt;
  bool ViewRead = false;
  std::vector<std::string> Incarnations;
  bool WasMember = false; ///< In this incarnation.
  bool Superseded = false;
  bool WantsLeaving = false;
  bool WantsRemoval = false;
};

} // namespace jayramp
