#pragma once

#include "Base/Clock.h"
#include "Store/RowStore.h"

namespace jayramp::shard {

// Timing of the attempts of a call to the store that a caller waits for.

/// An attempt is started only if at least this time remains until the deadline.
constexpr Milliseconds MinTimeForAttempt{40};

/// Returns whether the calls of callers find the store slow.
auto isSlow(const store::RowStore &Store) -> bool;
/// Returns the timeout of an attempt of a call that has \p Remaining left.
auto attemptTimeout(const store::RowStore &Store, Milliseconds Remaining)
    -> Milliseconds;
/// Returns the time after which a second partition is tried in parallel.
auto hedgeDelay(const store::RowStore &Store) -> Milliseconds;
/// Returns the time until \p Deadline; negative once it has passed.
auto remainingUntil(TimePoint Deadline) -> Milliseconds;

} // namespace jayramp::shard
