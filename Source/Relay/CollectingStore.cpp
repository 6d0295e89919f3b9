#include "Relay/CollectingStore.h"

#include "Base/Overloaded.h"

#include <utility>

namespace jayramp::relay {

namespace {

/// Time for which a collector that did not answer is not used.
constexpr Milliseconds CollectorBackoff{1000};

} // namespace

auto CollectingStore::collectorFor(const store::RowTransaction &Change) const
    -> std::string {
  if (Change.Writes.empty() || Next.recentLatency() < store::SlowStoreLatency ||
      Clock::now() < CollectorBackoffUntil)
    return {};
  return ReadCollector();
}

auto CollectingStore::transact(
    const store::RowTransaction &Change, Milliseconds Timeout,
    std::function<void(store::TransactionOutcome)> Done) -> void {
  const auto Collector = collectorFor(Change);
  if (Collector.empty()) {
    Next.transact(Change, Timeout, std::move(Done));
    return;
  }
  Transport.call(
      Collector, {Change, Timeout},
      [this, Done = std::move(Done)](const std::optional<RelayReply> &Reply) {
        store::TransactionOutcome Outcome =
            store::StoreNoAnswer{"the collector did not answer"};
        if (Reply)
          std::visit(
              Overloaded{
                  [&](const store::TransactionCommitted &Case) {
                    Outcome = Case;
                  },
                  [&](const store::TransactionConflict &Case) {
                    Outcome = Case;
                  },
                  [&](const store::StoreRefusal &Case) { Outcome = Case; },
                  [&](const StoreUnavailable &) {
                    // The text becomes the value of a metric label.
                    Outcome = store::StoreRefusal{"collector is not served"};
                  },
                  [](const auto &) {}},
              *Reply);
        if (!Reply || std::holds_alternative<StoreUnavailable>(*Reply))
          CollectorBackoffUntil = Clock::now() + CollectorBackoff;
        Done(Outcome);
      });
}

auto CollectingStore::read(store::RangeQuery Query, Milliseconds Timeout,
                           std::function<void(store::ReadOutcome)> Done)
    -> void {
  Next.read(std::move(Query), Timeout, std::move(Done));
}

auto CollectingStore::changes(std::string Table, std::uint64_t After,
                              Milliseconds Wait,
                              std::function<void(store::ChangesOutcome)> Done)
    -> void {
  Next.changes(std::move(Table), After, Wait, std::move(Done));
}

auto CollectingStore::recentLatency() const -> Milliseconds {
  return Next.recentLatency();
}

auto CollectingStore::available() const -> bool { return Next.available(); }

} // namespace jayramp::relay
