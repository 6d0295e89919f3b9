#include "Relay/RelayingStore.h"

#include "Base/EventLog.h"
#include "Relay/HostTable.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace jayramp::relay {

using store::StoreNoAnswer;
using store::StoreRefusal;

namespace {

using StoreCallOutcome = RelayPolicy::StoreCallOutcome;

/// Maximum number of peers tried for one call.
constexpr unsigned MaxPeersPerCall = 2;
/// Timeout of a call through one peer, in addition to a wait for changes.
constexpr Milliseconds PeerTimeout{600};
constexpr Milliseconds ProbeTimeout{400};

/// Returns whether the store processed the call, with whatever result.
template <typename Outcome> auto isAnswered(const Outcome &Result) -> bool {
  return !std::holds_alternative<StoreRefusal>(Result) &&
         !std::holds_alternative<StoreNoAnswer>(Result);
}

/// Converts a peer's reply to the outcome type of the call.
template <typename Outcome> auto outcomeOf(const RelayReply &Reply) -> Outcome {
  Outcome Result =
      StoreNoAnswer{"the peer's reply does not fit the type of the call"};
  std::visit(
      [&Result](const auto &Case) {
        if constexpr (std::is_constructible_v<Outcome, decltype(Case)>)
          Result = Case;
      },
      Reply);
  return Result;
}

} // namespace

template <typename Outcome>
auto RelayingStore::recordStoreCall(const Outcome &Result, TimePoint Start,
                                    Milliseconds Timeout) -> bool {
  const auto Now = Clock::now();
  const bool TimedOut = Now - Start >= Timeout;
  Policy.recordStoreCall(isAnswered(Result) ? StoreCallOutcome::Succeeded
                         : TimedOut         ? StoreCallOutcome::TimedOut
                                            : StoreCallOutcome::Failed,
                         Now, DirectStore.recentLatency());
  logAvailabilityChange();
  // A call without an answer is not repeated: it may have been carried out, and
  // its time is usually used up.
  return Policy.isStoreAvailable() ||
         !std::holds_alternative<StoreRefusal>(Result);
}

auto RelayingStore::logAvailabilityChange() -> void {
  if (Policy.isStoreAvailable() == WasStoreAvailable)
    return;
  WasStoreAvailable = Policy.isStoreAvailable();
  logEvent(LogLevel::Warning, WasStoreAvailable ? "relay-ended" : "relay-began",
           {});
}

template <typename Outcome>
auto RelayingStore::callPeer(std::shared_ptr<const RelayCall> Call,
                             unsigned PeersLeft,
                             std::function<void(Outcome)> Done) -> void {
  probeStore();
  const auto Peer = Policy.selectPeer(Clock::now());
  if (!Peer) {
    // The text becomes the value of a metric label.
    Done(StoreRefusal{"no peer is served"});
    return;
  }
  Transport.call(*Peer, *Call,
                 [this, Call, PeersLeft, Peer = *Peer,
                  Done = std::move(Done)](std::optional<RelayReply> Reply) {
                   handlePeerReply<Outcome>(Call, PeersLeft, Peer,
                                            std::move(Reply), Done);
                 });
}

template <typename Outcome>
auto RelayingStore::handlePeerReply(
    const std::shared_ptr<const RelayCall> &Call, unsigned PeersLeft,
    const std::string &Peer, std::optional<RelayReply> Reply,
    std::function<void(Outcome)> Done) -> void {
  using PeerCallOutcome = RelayPolicy::PeerCallOutcome;
  if (!Reply) {
    Policy.recordPeerCall(Peer, PeerCallOutcome::NoAnswer, Clock::now());
    Done(StoreNoAnswer{"peer " + Peer + " did not answer"});
    return;
  }
  if (std::holds_alternative<StoreUnavailable>(*Reply)) {
    Policy.recordPeerCall(Peer, PeerCallOutcome::StoreUnavailable,
                          Clock::now());
    if (PeersLeft > 1)
      callPeer<Outcome>(Call, PeersLeft - 1, std::move(Done));
    else
      // The text becomes the value of a metric label.
      Done(StoreRefusal{"no peer is served"});
    return;
  }
  Policy.recordPeerCall(Peer, PeerCallOutcome::Succeeded, Clock::now());
  Done(outcomeOf<Outcome>(*Reply));
}

auto RelayingStore::probeStore() -> void {
  if (!Policy.startProbeIfDue(Clock::now()))
    return;
  // Any answer shows that the store is available to this host.
  DirectStore.read(
      {HostTable, {}, {}, {}}, ProbeTimeout,
      [this, Start = Clock::now()](const store::ReadOutcome &Outcome) {
        recordStoreCall(Outcome, Start, ProbeTimeout);
      });
}

template <typename Outcome, typename StoreCall>
auto RelayingStore::callStoreOrPeer(std::shared_ptr<const RelayCall> Call,
                                    Milliseconds Timeout, StoreCall CallStore,
                                    std::function<void(Outcome)> Done) -> void {
  if (!Policy.isStoreAvailable()) {
    callPeer<Outcome>(std::move(Call), MaxPeersPerCall, std::move(Done));
    return;
  }
  CallStore([this, Call = std::move(Call), Start = Clock::now(), Timeout,
             Done = std::move(Done)](Outcome Result) {
    if (recordStoreCall(Result, Start, Timeout))
      Done(std::move(Result));
    else
      callPeer<Outcome>(Call, MaxPeersPerCall, Done);
  });
}

auto RelayingStore::transact(
    const store::RowTransaction &Change, Milliseconds Timeout,
    std::function<void(store::TransactionOutcome)> Done) -> void {
  const auto Call = std::make_shared<const RelayCall>(
      RelayCall{Change, std::min(Timeout, PeerTimeout)});
  callStoreOrPeer<store::TransactionOutcome>(
      Call, Timeout,
      [&](auto OnOutcome) {
        DirectStore.transact(Change, Timeout, std::move(OnOutcome));
      },
      std::move(Done));
}

auto RelayingStore::read(store::RangeQuery Query, Milliseconds Timeout,
                         std::function<void(store::ReadOutcome)> Done) -> void {
  const auto Call = std::make_shared<const RelayCall>(
      RelayCall{Query, std::min(Timeout, PeerTimeout)});
  callStoreOrPeer<store::ReadOutcome>(
      Call, Timeout,
      [&](auto OnOutcome) {
        DirectStore.read(std::move(Query), Timeout, std::move(OnOutcome));
      },
      std::move(Done));
}

auto RelayingStore::changes(std::string Table, std::uint64_t After,
                            Milliseconds Wait,
                            std::function<void(store::ChangesOutcome)> Done)
    -> void {
  const auto Call = std::make_shared<const RelayCall>(
      RelayCall{ChangesQuery{Table, After, Wait}, PeerTimeout});
  callStoreOrPeer<store::ChangesOutcome>(
      Call, Wait,
      [&](auto OnOutcome) {
        DirectStore.changes(std::move(Table), After, Wait,
                            std::move(OnOutcome));
      },
      std::move(Done));
}

auto RelayingStore::recentLatency() const -> Milliseconds {
  return DirectStore.recentLatency();
}

auto RelayingStore::available() const -> bool {
  return DirectStore.available() || Policy.selectPeer(Clock::now()).has_value();
}

} // namespace jayramp::relay
