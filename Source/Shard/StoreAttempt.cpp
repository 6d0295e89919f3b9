#include "Shard/StoreAttempt.h"

#include <algorithm>

namespace jayramp::shard {

namespace {

/// Shortest timeout of one attempt. A partition that does not answer is found
/// out earlier, by the hedge delay.
constexpr Milliseconds MinAttemptTimeout{2000};
/// Attempt timeouts and hedge delays are at least this multiple of the store's
/// recent latency.
constexpr int AttemptLatencyFactor = 4;
/// The same while the store is slow: a write then waits for others in its
/// partition, and another attempt would only wait behind it.
constexpr int SlowAttemptLatencyFactor = 10;
/// Shortest time that one partition has to answer before a second one is tried
/// in parallel.
constexpr Milliseconds MinHedgeDelay{500};

} // namespace

auto isSlow(const store::RowStore &Store) -> bool {
  return Store.recentLatency() >= store::SlowStoreLatency;
}

auto attemptTimeout(const store::RowStore &Store, Milliseconds Remaining)
    -> Milliseconds {
  const auto Factor =
      isSlow(Store) ? SlowAttemptLatencyFactor : AttemptLatencyFactor;
  const auto Timeout =
      std::max(MinAttemptTimeout, Store.recentLatency() * Factor);
  return std::min(Remaining, Timeout);
}

auto hedgeDelay(const store::RowStore &Store) -> Milliseconds {
  return std::max(MinHedgeDelay, Store.recentLatency() * AttemptLatencyFactor);
}

auto remainingUntil(TimePoint Deadline) -> Milliseconds {
  return std::chrono::duration_cast<Milliseconds>(Deadline - Clock::now());
}

} // namespace jayramp::shard
