#pragma once

#include "Requests/RequestOutcome.h"

#include <variant>

namespace jayramp {

/// The result settles the request; the caller is sent \p Outcome.
struct AttemptSettlesRequest {
  RequestOutcome Outcome;
};

/// The request may be attempted again if the retry budget and the deadline
/// allow it. If they do not, OutcomeTracker::close() must be called.
struct AttemptAllowsRetry {
  std::string Detail; ///< Why the last attempt did not settle the request.
};

/// Other attempts of the request have no result yet and may still settle it.
struct OtherAttemptsOpen {};

/// The result arrived after the request was settled and is ignored.
struct AttemptResultLate {};

/// The attempt has already reported a result or was never started; the result
/// is ignored.
struct AttemptResultDuplicate {};

/// What follows from the result of one attempt.
using AttemptDecision =
    std::variant<AttemptSettlesRequest, AttemptAllowsRetry, OtherAttemptsOpen,
                 AttemptResultLate, AttemptResultDuplicate>;

} // namespace jayramp
