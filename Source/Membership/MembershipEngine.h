#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Membership/MembershipState.h"
#include "Membership/PeerHandler.h"
#include "Membership/PeerTransport.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace jayramp::peer::v1 {
class PeerHeartbeat;
} // namespace jayramp::peer::v1

namespace jayramp {

class ConfigurationStore;
class Metrics;
class TableService;
struct TableRow;
struct TableTransaction;

/// Connects one MembershipState with the table service and the peer transport;
/// MembershipRunner calls its operations periodically on its threads. The state
/// is guarded by a mutex, which is never held during a store call. All members
/// are safe to call from any thread, but writeHeartbeat() must be called by one
/// thread only, and so must maintainView().
class MembershipEngine final : public PeerHandler {
public:
  /// \p OnChange is called when heartbeats to the peers are due at once or a
  /// change of the view may have become possible. It runs under the mutex, so
  /// it must do no more than wake threads.
  MembershipEngine(Member Self, MembershipTiming Timing, TableService &Tables,
                   PeerTransport &Transport, ConfigurationStore &Store,
                   Metrics &Registry, std::function<void()> OnChange);

  /// Writes this host's heartbeat row on condition that the view and the
  /// configuration are unchanged in the store, which confirms both. Does
  /// nothing if this host is not a member. Blocks for the store call.
  /// \returns Conflict if other writes won every attempt, otherwise the error
  /// of the store call.
  auto writeHeartbeat() -> Result<void>;
  /// Reads the heartbeat rows if \p ReadHeartbeatRows is set, then writes a new
  /// view if decideMembership() calls for one. If the write of another host
  /// came first, adopts its result instead. Blocks for the store calls.
  /// \returns the error of the store call that failed.
  auto maintainView(bool ReadHeartbeatRows) -> Result<void>;
  /// Sends a heartbeat to every other member; does not wait for the replies.
  auto sendHeartbeats() -> void;
  /// Answers the heartbeat of a peer.
  auto handle(const peer::v1::Envelope &Request, PeerReply Reply)
      -> void override;

  auto view() const -> std::shared_ptr<const View>;
  auto self() const -> Member;
  auto incarnations() const -> std::vector<std::string>;
  /// Returns the newest observation of each other member that has answered.
  auto peerObservations() const -> std::vector<PeerObservation>;
  auto hasMajority() const -> bool;
  /// Returns whether no host can still serve under an earlier view.
  auto isSettled() const -> bool;
  auto servingDecision() const -> ServingDecision;
  auto reportFreeSlots(std::uint32_t Count) -> void { FreeSlots = Count; }
  auto requestLeaving() -> void;
  auto requestRemoval() -> void;
  /// Waits until \p Condition, called under the mutex, returns true. Returns
  /// false if it does not by \p Until.
  auto waitFor(const std::function<bool(const MembershipState &)> &Condition,
               TimePoint Until) -> bool;

private:
  /// The caller holds the mutex.
  auto heartbeatTransaction(std::uint64_t ViewVersion,
                            const std::string &Incarnation) -> TableTransaction;
  /// Returns the transaction that writes \p Next. The caller holds the mutex.
  auto viewTransaction(const MembershipDecision &Decision, const View &Next)
      -> TableTransaction;
  /// Reads the heartbeat rows that have changed since the last read.
  auto readHeartbeatRows() -> Result<void>;
  auto readView() -> Result<void>;
  auto writeView(const MembershipDecision &Decision) -> Result<void>;
  /// Takes over a newer configuration, view or own heartbeat row from a row of
  /// \p Table that the store has returned. The caller does not hold the mutex.
  auto adoptRow(const std::string &Table, const TableRow &Row) -> void;
  /// Takes over a newer view. The caller holds the mutex.
  auto adoptView(const View &Newer) -> void;
  /// Sets the fields of an outgoing heartbeat. The caller holds the mutex.
  auto fillReport(peer::v1::PeerHeartbeat &Report, TimePoint Now) const -> void;
  /// Processes the answer of a peer to a heartbeat sent at \p SentAt.
  auto receiveReply(const std::string &PeerName, TimePoint SentAt,
                    const peer::v1::PeerHeartbeat &Reply) -> void;

  MembershipTiming Timing;
  TableService &Tables;
  PeerTransport &Transport;
  ConfigurationStore &Store;
  Metrics &Registry;
  std::function<void()> OnChange;
  std::atomic<std::uint32_t> FreeSlots{0};

  mutable std::mutex Mutex; ///< Guards the members below.
  std::condition_variable StateChanged;
  MembershipState State;
  std::uint64_t OwnRowVersion = 0; ///< Of this host's heartbeat row.
  std::uint64_t HeartbeatCounter = 0;
  std::uint64_t HostTableRevision = 0; ///< Up to which rows have been read.
  /// Ids of the newest writes. A row that carries one of them shows that the
  /// write took effect although its answer was lost.
  std::string LastHeartbeatWriteId;
  std::string LastViewWriteId;
  /// The stored view may be newer than the known one.
  bool MustReadView = true;
  bool SupersededLogged = false;
};

} // namespace jayramp
