#pragma once

#include "Relay/RelayPolicy.h"
#include "Relay/RelayTransport.h"
#include "Store/RowStore.h"

#include <memory>

namespace jayramp::relay {

/// The table service, through a peer while it does not serve this host.
class RelayingStore : public store::RowStore {
public:
  RelayingStore(store::RowStore &Direct, RelayTransport &Port,
                RelayPolicy &Policy)
      : Direct(Direct), Port(Port), Policy(Policy) {}

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
  /// Notes how the store itself answered. False: the call may go to a peer.
  template <typename Outcome>
  auto recordStoreCall(const Outcome &Result, TimePoint Start,
                       Milliseconds Timeout) -> bool;
  /// Makes a call by \p AskDirect, or through a peer where that does not help.
  template <typename Outcome, typename Ask>
  auto callOrRelay(std::shared_ptr<const RelayCall> Call, Milliseconds Timeout,
                   Ask AskDirect, std::function<void(Outcome)> Done) -> void;
  /// Makes a call through a peer; \p Peers is how many may be tried.
  template <typename Outcome>
  auto relay(std::shared_ptr<const RelayCall> Call, unsigned Peers,
             std::function<void(Outcome)> Done) -> void;
  template <typename Outcome>
  auto onReply(const std::shared_ptr<const RelayCall> &Call, unsigned Peers,
               const std::string &Peer, std::optional<RelayReply> Reply,
               std::function<void(Outcome)> Done) -> void;
  auto probe() -> void;
  auto noteTransition() -> void;

  store::RowStore &Direct;
  RelayTransport &Port;
  RelayPolicy &Policy;
  bool WasServed = true;
};

} // namespace jayramp::relay
