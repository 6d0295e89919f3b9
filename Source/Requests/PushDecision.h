#pragma once

#include "Base/Clock.h"

#include <variant>

namespace jayramp {

struct PushQueued {
  Milliseconds EstimatedWait{0};
};

/// The queue holds its maximum count of entries.
struct PushQueueFull {
  Milliseconds RetryAfter{0};
};

/// The account holds its maximum count of entries.
struct PushAccountLimitReached {
  Milliseconds RetryAfter{0};
};

/// The estimated wait exceeds the deadline.
struct PushDeadlineTooShort {
  Milliseconds EstimatedWait{0};
};

/// The id waits already, or the cost is not above 0.
struct PushInvalidEntry {};

using PushDecision =
    std::variant<PushQueued, PushQueueFull, PushAccountLimitReached,
                 PushDeadlineTooShort, PushInvalidEntry>;

} // namespace jayramp
