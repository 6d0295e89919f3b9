#pragma once

#include <string>
#include <variant>

namespace jayramp {

/// The worker ran the request successfully and its complete response arrived.
struct AttemptSucceeded {
  std::string Body;
};

/// The worker ran the request and reported that it failed.
struct AttemptFailed {
  std::string Body;
};

/// The worker refused the request before starting it, so it did not run.
struct AttemptRefused {
  /// Value of the Jayramp-Refused header: "busy", "leaving" or "fenced".
  std::string Reason;
};

/// The request was never sent, so it did not run.
struct AttemptNotSent {
  std::string Detail;
};

/// The call failed or timed out after a part of the request may have been sent.
/// Whether the worker ran the request is unknown.
struct AttemptInterrupted {
  std::string Detail;
  /// True if the response had started to arrive but was not complete.
  bool ResponseTruncated = false;
};

/// Result of one attempt to run a request on a worker.
using AttemptOutcome =
    std::variant<AttemptSucceeded, AttemptFailed, AttemptRefused,
                 AttemptNotSent, AttemptInterrupted>;

} // namespace jayramp
