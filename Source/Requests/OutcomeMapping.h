#pragma once

#include "jayramp/v1/jayramp.pb.h"

#include "Requests/RequestOutcome.h"

#include <cstdint>
#include <string>

namespace jayramp {

/// Returns the advice to the caller or the operator for \p Reason; empty if
/// there is none for it.
auto remedyFor(v1::Reason Reason) -> std::string;

/// Returns an outcome message without an answer, with the remedy for \p Reason.
auto makeOutcome(v1::Outcome Outcome, v1::Reason Reason, std::string Detail,
                 std::uint32_t RetryAfterMs) -> v1::RequestOutcome;

/// Converts \p Source to the message for the caller. \p Reason is used only if
/// the request did not run or its outcome is unknown.
auto toMessage(const RequestOutcome &Source, v1::Reason Reason)
    -> v1::RequestOutcome;

/// Serializes the outcome that is stored with the request key and returned to
/// repeated requests. An outcome whose answer exceeds 64 KiB is replaced by
/// UNKNOWN with the reason ANSWER_NOT_RETAINED.
auto serializeForRetention(const v1::RequestOutcome &Source) -> std::string;

} // namespace jayramp
