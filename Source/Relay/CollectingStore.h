#pragma once

#include "Relay/RelayTransport.h"
#include "Store/RowStore.h"

#include <functional>
#include <string>

namespace jayramp::relay {

/// Sends transactions of callers through one entry host, the collector, while
/// the store is slow: the collector combines the transactions of all hosts, of
/// which a slow store takes only a few a second. Otherwise, and for all other
/// calls, uses the given store.
class CollectingStore : public store::RowStore {
public:
  /// \p ReadCollector returns the address of the collector, or an empty string
  /// if there is none. The collector may be this host, which then calls itself,
  /// so that its own transactions are combined as well.
  CollectingStore(store::RowStore &Next, RelayTransport &Transport,
                  std::function<std::string()> ReadCollector)
      : Next(Next), Transport(Transport),
        ReadCollector(std::move(ReadCollector)) {}

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
  /// Returns the address of the collector to use now; empty if there is none.
  auto collectorFor(const store::RowTransaction &Change) const -> std::string;

  store::RowStore &Next;
  RelayTransport &Transport;
  std::function<std::string()> ReadCollector;
  TimePoint CollectorBackoffUntil; ///< After a call without an answer.
};

} // namespace jayramp::relay
