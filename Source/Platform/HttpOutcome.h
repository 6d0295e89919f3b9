#pragma once

#include <string>
#include <variant>

namespace jayramp {

/// The complete response was received. \p Status may be any HTTP status.
struct HttpResponseReceived {
  unsigned Status = 0;
  /// Value of the Jayramp-Refused header; empty if the header is absent.
  std::string Refused;
  std::string Body;
};

/// The call failed before anything was sent.
struct HttpNotSent {
  std::string Detail;
};

/// The call failed or timed out after a part of it may have been sent. Whether
/// the server handled it is unknown.
struct HttpInterrupted {
  std::string Detail;
  /// True if the response had started to arrive but was not complete.
  bool ResponseTruncated = false;
  /// True if the timeout of the call passed.
  bool TimedOut = false;
};

/// Result of one HTTP call.
using HttpOutcome =
    std::variant<HttpResponseReceived, HttpNotSent, HttpInterrupted>;

} // namespace jayramp
