#pragma once

#include "Requests/RequestOutcome.h"

#include <variant>

namespace jayramp {

/// The request is settled by this result: answer the caller.
struct AttemptSettlesRequest {
  RequestOutcome Outcome;
};

/// Another attempt is allowed, within the retry budget and the deadline;
/// otherwise call OutcomeTracker::close().
struct AttemptAllowsRetry {
  std::string Detail;
};

/// Other attempts are still open: wait for them.
struct OtherAttemptsOpen {};

/// The result came after the request was settled: drop it.
struct AttemptResultLate {};

/// The attempt reported a result before, or was never started: drop it.
struct AttemptResultDuplicate {};

using AttemptDecision =
    std::variant<AttemptSettlesRequest, AttemptAllowsRetry, OtherAttemptsOpen,
                 AttemptResultLate, AttemptResultDuplicate>;

} // namespace jayramp
