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

constexpr unsigned PeersPerCall = 2;
/// A peer that takes longer is given up for this call.
constexpr Milliseconds PeerTimeout{600};
constexpr Milliseconds ProbeTimeout{400};

template <typename Outcome> auto isServedBy(const Outcome &Result) -> bool {
  return !std::holds_alternative<StoreRefusal>(Result) &&
         !std::holds_alternative<StoreNoAnswer>(Result);
}

/// The reply as an outcome of this kind of call.
template <typename Outcome> auto outcomeOf(const RelayReply &Reply) -> Outcome {
  Outcome Result = StoreNoAnswer{"a peer answered another call"};
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
  Policy.recordStoreCall(isServedBy(Result) ? StoreCallOutcome::Succeeded
                         : TimedOut         ? StoreCallOutcome::TimedOut
                                            : StoreCallOutcome::Failed,
                         Now, Direct.recentLatency());
  noteTransition();
  // A call without an answer has used up its time.
  return Policy.isStoreAvailable() ||
         !std::holds_alternative<StoreRefusal>(Result);
}

auto RelayingStore::noteTransition() -> void {
  if (Policy.isStoreAvailable() == WasServed)
    return;
  WasServed = Policy.isStoreAvailable();
  logEvent(LogLevel::Warning, WasServed ? "relay-ended" : "relay-began", {});
}

template <typename Outcome>
auto RelayingStore::relay(std::shared_ptr<const RelayCall> Call, unsigned Peers,
                          std::function<void(Outcome)> Done) -> void {
  probe();
  const auto Peer = Policy.selectPeer(Clock::now());
  if (!Peer) {
    Done(StoreRefusal{"no peer is served"});
    return;
  }
  Port.call(*Peer, *Call,
            [this, Call, Peers, Peer = *Peer,
             Done = std::move(Done)](std::optional<RelayReply> Reply) {
              onReply<Outcome>(Call, Peers, Peer, std::move(Reply), Done);
            });
}

template <typename Outcome>
auto RelayingStore::onReply(const std::shared_ptr<const RelayCall> &Call,
                            unsigned Peers, const std::string &Peer,
                            std::optional<RelayReply> Reply,
                            std::function<void(Outcome)> Done) -> void {
  using PeerCallOutcome = RelayPolicy::PeerCallOutcome;
  if (!Reply) {
    Policy.recordPeerCall(Peer, PeerCallOutcome::NoAnswer, Clock::now());
    Done(StoreNoAnswer{"peer " + Peer + " does not answer"});
    return;
  }
  if (std::holds_alternative<StoreUnavailable>(*Reply)) {
    Policy.recordPeerCall(Peer, PeerCallOutcome::StoreUnavailable,
                          Clock::now());
    if (Peers > 1)
      relay<Outcome>(Call, Peers - 1, std::move(Done));
    else
      Done(StoreRefusal{"no peer is served"});
    return;
  }
  Policy.recordPeerCall(Peer, PeerCallOutcome::Succeeded, Clock::now());
  Done(outcomeOf<Outcome>(*Reply));
}

auto RelayingStore::probe() -> void {
  if (!Policy.startProbeIfDue(Clock::now()))
    return;
  // Any answer tells that the store serves us.
  Direct.read({HostTable, {}, {}, {}}, ProbeTimeout,
              [this, Start = Clock::now()](const store::ReadOutcome &Outcome) {
                recordStoreCall(Outcome, Start, ProbeTimeout);
              });
}

template <typename Outcome, typename Ask>
auto RelayingStore::callOrRelay(std::shared_ptr<const RelayCall> Call,
                                Milliseconds Timeout, Ask AskDirect,
                                std::function<void(Outcome)> Done) -> void {
  if (!Policy.isStoreAvailable()) {
    relay<Outcome>(std::move(Call), PeersPerCall, std::move(Done));
    return;
  }
  AskDirect([this, Call = std::move(Call), Start = Clock::now(), Timeout,
             Done = std::move(Done)](Outcome Result) {
    if (recordStoreCall(Result, Start, Timeout))
      Done(std::move(Result));
    else
      relay<Outcome>(Call, PeersPerCall, Done);
  });
}

auto RelayingStore::transact(
    const store::RowTransaction &Change, Milliseconds Timeout,
    std::function<void(store::TransactionOutcome)> Done) -> void {
  const auto Call = std::make_shared<const RelayCall>(
      RelayCall{Change, std::min(Timeout, PeerTimeout)});
  callOrRelay<store::TransactionOutcome>(
      Call, Timeout,
      [&](auto Answered) {
        Direct.transact(Change, Timeout, std::move(Answered));
      },
      std::move(Done));
}

auto RelayingStore::read(store::RangeQuery Query, Milliseconds Timeout,
                         std::function<void(store::ReadOutcome)> Done) -> void {
  const auto Call = std::make_shared<const RelayCall>(
      RelayCall{Query, std::min(Timeout, PeerTimeout)});
  callOrRelay<store::ReadOutcome>(
      Call, Timeout,
      [&](auto Answered) {
        Direct.read(std::move(Query), Timeout, std::move(Answered));
      },
      std::move(Done));
}

auto RelayingStore::changes(std::string Table, std::uint64_t After,
                            Milliseconds Wait,
                            std::function<void(store::ChangesOutcome)> Done)
    -> void {
  const auto Call = std::make_shared<const RelayCall>(
      RelayCall{ChangesQuery{Table, After, Wait}, PeerTimeout});
  callOrRelay<store::ChangesOutcome>(
      Call, Wait,
      [&](auto Answered) {
        Direct.changes(std::move(Table), After, Wait, std::move(Answered));
      },
      std::move(Done));
}

auto RelayingStore::recentLatency() const -> Milliseconds {
  return Direct.recentLatency();
}

auto RelayingStore::available() const -> bool {
  return Direct.available() || Policy.selectPeer(Clock::now()).has_value();
}

} // namespace jayramp::relay
