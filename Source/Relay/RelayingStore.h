#pragma once

#include "Relay/RelayPolicy.h"
#include "Relay/RelayTransport.h"
#include "Store/RowStore.h"

#include <memory>

namespace jayramp::relay {

/// Calls the table service directly, or through a peer while the service is
/// unavailable to this host.
class RelayingStore : public store::RowStore {
public:
  RelayingStore(store::RowStore &DirectStore, RelayTransport &Transport,
                RelayPolicy &Policy)
      : DirectStore(DirectStore), Transport(Transport), Policy(Policy) {}

  auto transact(const store::RowTransaction &Change, Milliseconds Timeout,
                std::function<void(store::TransactionOutcome)> Done)
      -> void override;
  auto read(store::RangeQuery Query, Milliseconds Timeout,
            std::function<void(store::ReadOutcome)> Done) -> void override;
  auto changes(std::string Table, std::uint64_t After, Milliseconds Wait,
               std::function<void(store::ChangesOutcome)> Done)
      -> void override;
  auto recentLatency() const -> Milliseconds override;
  auto available() const -> bool override;

private:
  /// Records the outcome of a direct call that started at \p Start. Returns
  /// whether it is final; if not, the call may be made through a peer.
  template <typename Outcome>
  auto recordStoreCall(const Outcome &Result, TimePoint Start,
                       Milliseconds Timeout) -> bool;
  /// Makes a call by \p CallStore, or through a peer if the store is or becomes
  /// unavailable.
  template <typename Outcome, typename StoreCall>
  auto callStoreOrPeer(std::shared_ptr<const RelayCall> Call,
                       Milliseconds Timeout, StoreCall CallStore,
                       std::function<void(Outcome)> Done) -> void;
  /// Makes a call through a peer, trying up to \p PeersLeft peers.
  template <typename Outcome>
  auto callPeer(std::shared_ptr<const RelayCall> Call, unsigned PeersLeft,
                std::function<void(Outcome)> Done) -> void;
  template <typename Outcome>
  auto handlePeerReply(const std::shared_ptr<const RelayCall> &Call,
                       unsigned PeersLeft, const std::string &Peer,
                       std::optional<RelayReply> Reply,
                       std::function<void(Outcome)> Done) -> void;
  /// Makes a direct call if a probe is due, to learn whether the store is
  /// available again.
  auto probeStore() -> void;
  /// Logs the beginning and the end of relaying.
  auto logAvailabilityChange() -> void;

  store::RowStore &DirectStore;
  RelayTransport &Transport;
  RelayPolicy &Policy;
  bool WasStoreAvailable = true;
};

} // namespace jayramp::relay
