#pragma once

#include <string_view>

namespace jayramp {

/// Kinds of errors that callers need to handle differently.
enum class ErrorKind {
  InvalidArgument, ///< The input is malformed or out of range.
  NotFound,        ///< The named object does not exist.
  Conflict,    ///< A concurrent write came first; the text names its version.
  Unavailable, ///< A dependency did not answer; the call had no effect.
  Timeout, ///< No answer in time; it is unknown whether the call had an effect.
  Fenced,  ///< The caller's epoch is older than the latest known epoch.
  Rejected, ///< The request was rejected for good; a retry cannot succeed.
  Internal, ///< A bug in this program.
};

/// Returns the name of \p Kind as it appears in logs and API errors, for
/// example "INVALID_ARGUMENT".
auto toString(ErrorKind Kind) -> std::string_view;

} // namespace jayramp
