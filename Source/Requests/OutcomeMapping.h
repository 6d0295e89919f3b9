#pragma once

#include "jayramp/v1/jayramp.pb.h"

#include "Requests/RequestOutcome.h"

#include <cstdint>
#include <string>

namespace jayramp {

/// What a reason tells its reader to do; empty for unknown reasons.
auto remedyFor(v1::Reason Reason) -> std::string;

/// An outcome without an answer.
auto makeOutcome(v1::Outcome Outcome, v1::Reason Reason, std::string Detail,
                 std::uint32_t RetryAfterMs) -> v1::RequestOutcome;

/// \p Source as the message for the caller. \p Reason is used if the request
/// did not run or its outcome is not known.
auto toMessage(const RequestOutcome &Source, v1::Reason Reason)
    -> v1::RequestOutcome;

/// Bytes kept with the key for repeats; the answer is left out if it is too
/// large to be kept.
auto serializeForRetention(const v1::RequestOutcome &Source) -> std::string;

} // namespace jayramp
