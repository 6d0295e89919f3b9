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

/// The steps that MembershipRunner repeats on its threads, around one
/// MembershipState and its lock. No store call is made under the lock. All
/// members are safe to call from any thread, but only one thread may call
/// writeHeartbeat(), and only one maintainView().
class MembershipEngine final : public PeerHandler {
public:
  /// \p OnChange is called under the lock when peers should be asked at once
  /// or a decision may have become possible; it must only wake threads.
  MembershipEngine(Member Self, MembershipTiming Timing, TableService &Tables,
                   PeerTransport &Transport, ConfigurationStore &Store,
                   Metrics &Registry, std::function<void()> OnChange);

  /// Writes this host's heartbeat row on condition that view and configuration
  /// are unchanged, which confirms both. Blocks for the store.
  auto writeHeartbeat() -> Result<void>;
  /// Reads the heartbeat rows if \p ReadRows, and changes the view if the
  /// decision is to do so. Blocks for the store.
  auto maintainView(bool ReadRows) -> Result<void>;
  /// Sends a heartbeat to every other member.
  auto sendHeartbeats() -> void;
  auto handle(const peer::v1::Envelope &Request, PeerReply Reply)
      -> void override;

  auto view() const -> std::shared_ptr<const View>;
  auto self() const -> Member;
  auto incarnations() const -> std::vector<std::string>;
  auto peerObservations() const -> std::vector<PeerObservation>;
  auto hasMajority() const -> bool;
  /// Whether the view has certainly replaced its predecessors.
  auto settled() const -> bool;
  auto servingDecision() const -> ServingDecision;
  auto reportFreeSlots(std::uint32_t Count) -> void { FreeSlots = Count; }
  auto requestLeaving() -> void;
  auto requestRemoval() -> void;
  /// Waits until \p Condition holds for the state; false if the time is up.
  auto waitFor(const std::function<bool(const MembershipState &)> &Condition,
               TimePoint Until) -> bool;

private:
  auto heartbeatTransaction(std::uint64_t ViewVersion,
                            const std::string &Incarnation) -> TableTransaction;
  auto viewTransaction(const MembershipDecision &Decision, const View &Next)
      -> TableTransaction;
  auto readRows() -> Result<void>;
  auto readView() -> Result<void>;
  auto writeView(const MembershipDecision &Decision) -> Result<void>;
  auto adoptRow(const std::string &Table, const TableRow &Row) -> void;
  /// The caller holds the lock.
  auto adoptLocked(const View &Newer) -> void;
  auto fillReport(peer::v1::PeerHeartbeat &Report, TimePoint Now) const -> void;
  auto receiveReply(const std::string &PeerName, TimePoint SentAt,
                    const peer::v1::PeerHeartbeat &Reply) -> void;

  MembershipTiming Timing;
  TableService &Tables;
  PeerTransport &Transport;
  ConfigurationStore &Store;
  Metrics &Registry;
  std::function<void()> OnChange;
  std::atomic<std::uint32_t> FreeSlots{0};

  mutable std::mutex Mutex; ///< Guards what follows.
  std::condition_variable Changed;
  MembershipState State;
  std::uint64_t OwnRowVersion = 0;
  std::uint64_t HeartbeatCounter = 0;
  std::uint64_t Revision = 0;
  std::string HeartbeatWriteId; ///< Newest, to recognise a lost answer.
  std::string ViewWriteId;
  bool ViewReadNeeded = true;
  bool SupersededLogged = false;
};

} // namespace jayramp
