#pragma once

#include "Requests/RequestOutcome.h"

#include <variant>

namespace jayramp {

/// The request is settled by this result: answer the caller.
struct AttemptSettles {
  RequestOutcome Outcome;
};

/// Another attempt is allowed, within the retry budget and the deadline;
/// otherwise call OutcomeTracker::close().
struct AttemptMayRetry {
  std::string Detail;
};

/// Other attempts are still open: wait for them.
struct AttemptWait {};

/// The result came after the request was settled: drop it.
struct AttemptLate {};

/// The attempt reported a result before, or was never started: drop it.
struct AttemptDuplicate {};

using AttemptDecision =
    std::variant<AttemptSettles, AttemptMayRetry, AttemptWait, AttemptLate,
                 AttemptDuplicate>;

} // namespace jayramp
