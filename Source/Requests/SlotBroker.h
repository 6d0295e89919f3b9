#pragma once

#include "Base/Clock.h"
#include "Platform/WorkerStatus.h"
#include "Requests/SlotDecision.h"
#include "Requests/SlotLedger.h"
#include "Requests/WorkerHealth.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jayramp {

class MembershipRunner;
class Metrics;
class PeerHandler;
class PeerTransport;
struct PeerObservation;

/// Result of the attempt that used a slot.
struct SlotUseResult {
  /// Time until the worker answered; only for short work, because the latency
  /// of long work depends on the request rather than on the worker.
  std::optional<Milliseconds> Latency;
  bool Answered = false; ///< The worker sent a complete answer.
  bool Failed = false;   ///< The worker failed the attempt or did not answer.
  bool Refused = false;  ///< The worker refused the attempt unstarted.
};

/// Provides slots for the requests of this host: slots of the workers that it
/// owns, and slots granted by the peers that own other workers. All members are
/// safe to call from any thread and never block on the network.
class SlotBroker {
public:
  using GrantsCallback = std::function<void(std::vector<SlotGrant>)>;
  /// Called without a mutex held when slots may have become free.
  using SlotsFreedCallback = std::function<void()>;

  /// Registers its message handlers with \p Transport, which must be stopped
  /// before this object is destroyed. The references must outlive it.
  SlotBroker(std::string HostName, SlotLedger Ledger, WorkerHealth Health,
             MembershipRunner &Membership, PeerTransport &Transport,
             Metrics &Counters);
  ~SlotBroker();
  SlotBroker(const SlotBroker &) = delete;
  auto operator=(const SlotBroker &) -> SlotBroker & = delete;

  /// Sets the function that is called when slots may have become free.
  auto setSlotsFreedCallback(SlotsFreedCallback Function) -> void;

  /// Grants a slot of a worker that this host owns. \p Excluded names a worker
  /// to avoid; may be empty.
  auto acquire(WorkClass Class, const std::string &Excluded) -> SlotDecision;

  /// Requests up to \p Count slots from one peer: the one that reported most
  /// free slots, or the next in turn if none reported any. \p Done is called
  /// exactly once, with an empty list if the peer granted none. Returns false,
  /// without calling \p Done, if every peer has an open request of this host.
  auto acquireFromPeer(std::size_t Count, WorkClass Class, GrantsCallback Done)
      -> bool;

  /// Releases a slot of a worker of this host, or one granted by a peer.
  auto release(const SlotGrant &Grant, const SlotUseResult &Result) -> void;

  auto addWorker(const std::string &Worker, const std::string &Address) -> void;
  auto removeWorker(const std::string &Worker) -> void;
  auto markLeaving(const std::string &Worker) -> void;
  /// Sets whether the host list marks the worker as leaving. See markLeaving()
  /// for what the worker itself reports.
  auto setLeavingInHostList(const std::string &Worker, bool Leaving) -> void;
  auto applyStatus(const std::string &Worker, const WorkerStatus &Status,
                   TimePoint RequestedAt) -> void;
  /// Records that a status call failed or was not answered.
  auto recordStatusFailure(const std::string &Worker) -> void;

  /// Applies a new view: later grants carry its version, and the grants of
  /// holders that are not in \p LiveIncarnations end.
  auto adoptView(std::uint64_t Version,
                 const std::set<std::string> &LiveIncarnations) -> void;

  /// Changes short grants past the short limit to long, ejects slow workers and
  /// answers waiting peers. Called about every 100 ms.
  auto runPeriodicTasks() -> void;

  /// Sets the limits of long work; see SlotLedger::setLongLimits().
  auto setLongLimits(std::uint32_t LongPercent, Milliseconds ShortLimit)
      -> void;

  auto freeSlots() const -> std::uint32_t;
  auto usedSlots(const std::string &Worker) const -> std::uint32_t;
  /// Returns "QUARANTINED" while the worker's circuit is open, "LIVE"
  /// otherwise.
  auto workerState(const std::string &Worker) const -> std::string;

private:
  /// Grants a slot; the caller holds Mutex.
  auto grantLocked(const SlotGrantRequest &GrantRequest,
                   const std::string &Excluded) -> SlotDecision;
  /// Ends a grant of this host and calls SlotsFreed, then answers waiting
  /// peers.
  auto releaseOwnSlot(const std::string &GrantId, const std::string &Worker,
                      const SlotUseResult &Result) -> void;
  auto registerHandlers() -> void;
  /// Answers the waiting peers for which a slot is free or whose wait is over.
  auto answerPeerRequests() -> void;

  /// Slot request of a peer that waits because no slot is free.
  struct WaitingPeerRequest {
    SlotGrantRequest GrantRequest;
    std::function<void(const std::optional<SlotGrant> &)> Answer;
    TimePoint ExpiresAt; ///< End of the wait for a free slot.
  };

  std::string HostName;
  MembershipRunner &Membership;
  PeerTransport &Transport;
  Metrics &Counters;
  mutable std::mutex Mutex; ///< Guards Ledger, Health and WaitingPeerRequests.
  SlotLedger Ledger;
  WorkerHealth Health;
  std::deque<WaitingPeerRequest> WaitingPeerRequests;
  std::mutex PeerMutex; ///< Guards PeersWithOpenRequest and NextPeer.
  std::size_t NextPeer = 0;
  std::set<std::string> PeersWithOpenRequest;
  std::mutex CallbackMutex; ///< Guards SlotsFreed.
  SlotsFreedCallback SlotsFreed;
  std::vector<std::unique_ptr<PeerHandler>> Handlers;
};

} // namespace jayramp
