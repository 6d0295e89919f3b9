#pragma once

#include <string_view>

namespace jayramp {

/// Classes of failure that callers of the library tell apart.
enum class ErrorKind {
  InvalidArgument, ///< The input is malformed or out of range.
  NotFound,        ///< The named object does not exist.
  Conflict,        ///< A concurrent write won; the message names its version.
  Unavailable,     ///< A dependency did not answer; nothing took effect.
  Timeout,         ///< No answer in time; the effect is not known.
  Fenced,          ///< The caller's epoch is older than the newest seen.
  Rejected,        ///< The request is final and can never succeed.
  Internal,        ///< A defect in this program.
};

/// Name of \p Kind as it appears in logs and API errors, for example
/// "INVALID_ARGUMENT".
auto toString(ErrorKind Kind) -> std::string_view;

} // namespace jayramp
