#pragma once

#include "Base/Clock.h"

#include <variant>

namespace jayramp {

/// The entry was added to the queue.
struct PushQueued {
  Milliseconds EstimatedWait{0};
};

/// The queue has reached its maximum number of entries.
struct PushQueueFull {
  Milliseconds RetryAfter{0};
};

/// The account has reached its maximum number of entries in the queue.
struct PushAccountLimitReached {
  Milliseconds RetryAfter{0};
};

/// The estimated wait exceeds the time left until the deadline.
struct PushDeadlineTooShort {
  Milliseconds EstimatedWait{0};
};

/// An entry with this id is already in the queue, or the cost is not above 0.
struct PushInvalidEntry {};

/// Result of adding an entry to the fair queue.
using PushDecision =
    std::variant<PushQueued, PushQueueFull, PushAccountLimitReached,
                 PushDeadlineTooShort, PushInvalidEntry>;

} // namespace jayramp
