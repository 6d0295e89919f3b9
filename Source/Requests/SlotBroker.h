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

/// How the use of a slot ended.
struct SlotUseResult {
  /// Of the worker's answer to short work. Long run times say nothing about
  /// the worker.
  std::optional<Milliseconds> Latency;
  bool Answered = false; ///< The worker gave a whole answer.
  bool Failed = false;   ///< The worker failed the attempt or did not answer.
  bool Refused = false;  ///< The worker refused before the start.
};

/// Slots for the requests of this host: those of the workers that it owns, and
/// grants from peers that own free ones. All members are safe to call from any
/// thread and never block on the network.
class SlotBroker {
public:
  using GrantsCallback = std::function<void(std::vector<SlotGrant>)>;
  /// Called without a lock when slots may have become free.
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

  /// Takes a slot of an own worker.
  auto acquire(WorkClass Class, const std::string &Excluded) -> SlotDecision;

  /// Asks one peer for up to \p Count slots: the one that reported most free
  /// slots, or the next in turn if none reported any. \p Done is called exactly
  /// once, with no grants if there are none. Returns false, without calling
  /// \p Done, if there is no peer without an outstanding question.
  auto acquireFromPeer(std::size_t Count, WorkClass Class, GrantsCallback Done)
      -> bool;

  /// Ends the use of a slot, own or granted by a peer.
  auto release(const SlotGrant &Grant, const SlotUseResult &Use) -> void;

  auto addWorker(const std::string &Worker, const std::string &Address) -> void;
  auto removeWorker(const std::string &Worker) -> void;
  auto markLeaving(const std::string &Worker) -> void;
  /// What the host list says of a worker; see markLeaving() for its answers.
  auto setLeavingInHostList(const std::string &Worker, bool Leaving) -> void;
  auto applyStatus(const std::string &Worker, const WorkerStatus &Status,
                   TimePoint RequestedAt) -> void;
  /// A status call failed or was not answered.
  auto recordStatusFailure(const std::string &Worker) -> void;

  /// Adopts a view: later grants carry its version, grants of holders that are
  /// gone end.
  auto adoptView(std::uint64_t Version, const std::set<std::string> &Live)
      -> void;

  /// Counts long-running short grants as long and ejects slow workers; called
  /// about every 100 ms.
  auto runPeriodicTasks() -> void;

  /// Changes the limits of long work; see SlotLedger::setLongLimits().
  auto setLongLimits(std::uint32_t LongPercent, Milliseconds ShortLimit)
      -> void;

  auto freeSlots() const -> std::uint32_t;
  auto usedSlots(const std::string &Worker) const -> std::uint32_t;
  /// "LIVE" or, while the circuit breaker is open, "QUARANTINED".
  auto workerState(const std::string &Worker) const -> std::string;

private:
  auto grantLocked(const SlotGrantRequest &Ask, const std::string &Excluded)
      -> SlotDecision;
  auto releaseOwnSlot(const std::string &GrantId, const std::string &Worker,
                      const SlotUseResult &Use) -> void;
  auto registerHandlers() -> void;
  auto servePeers() -> void;

  /// A peer's question that found no free slot.
  struct PeerQuestion {
    SlotGrantRequest Ask;
    std::function<void(const std::optional<SlotGrant> &)> Answer;
    TimePoint Expires;
  };

  std::string HostName;
  MembershipRunner &Membership;
  PeerTransport &Transport;
  Metrics &Counters;
  mutable std::mutex Mutex; ///< Guards Ledger, Health and Questions.
  SlotLedger Ledger;
  WorkerHealth Health;
  std::deque<PeerQuestion> Questions;
  std::mutex PeerMutex; ///< Guards AskedPeers and NextPeer.
  std::size_t NextPeer = 0;
  std::set<std::string> AskedPeers;
  std::mutex FreedMutex; ///< Guards FreedFunction.
  SlotsFreedCallback FreedFunction;
  std::vector<std::unique_ptr<PeerHandler>> Handlers;
};

} // namespace jayramp
