#pragma once

#include "Base/Error.h"
#include "Platform/HttpOutcome.h"

#include <string>

namespace jayramp {

/// Returns the error for a call that failed or got an unexpected status.
/// \p Operation names the call and the server's address; it becomes the place
/// of the error. \p HasEffect is true if the call changes state on the server.
/// The error is Unavailable if nothing was sent, Rejected for a 4xx status,
/// else Timeout if the call may have changed state and Unavailable if not.
auto httpCallError(const std::string &Operation, const HttpOutcome &Outcome,
                   bool HasEffect) -> Error;

/// Returns the error for a successful response whose body cannot be parsed:
/// Timeout if \p HasEffect, else Unavailable. \p Detail is the parser's
/// message.
auto malformedResponseError(const std::string &Operation,
                            const std::string &Detail, bool HasEffect) -> Error;

} // namespace jayramp
