#pragma once

#include "Base/Error.h"
#include "Platform/HttpOutcome.h"

#include <string>

namespace jayramp {

/// What a failed or unexpected \p Outcome means for the caller of a blocking
/// call. \p Operation names the call and the address. \p HasEffect says whether
/// the call changes something if it is carried out.
auto httpCallError(const std::string &Operation, const HttpOutcome &Outcome,
                   bool HasEffect) -> Error;

/// For an answer with status 200 that cannot be read.
auto malformedResponseError(const std::string &Operation,
                            const std::string &Detail, bool HasEffect) -> Error;

} // namespace jayramp
