#pragma once

#include <string>
#include <variant>

namespace jayramp {

/// An answer that was read to its end.
struct HttpResponseReceived {
  unsigned Status = 0;
  std::string Refused; ///< Value of the Jayramp-Refused header, may be empty.
  std::string Body;
};

/// No connection was made; nothing was sent.
struct HttpNotSent {
  std::string Detail;
};

/// The call failed after something may have been sent.
struct HttpInterrupted {
  std::string Detail;
  bool ResponseTruncated = false; ///< A part of an answer had arrived.
  bool TimedOut = false;
};

using HttpOutcome =
    std::variant<HttpResponseReceived, HttpNotSent, HttpInterrupted>;

} // namespace jayramp
