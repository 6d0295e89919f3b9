#pragma once

#include <string>
#include <variant>

namespace jayramp {

/// The worker ran the request; the answer was read to its end.
struct AttemptSucceeded {
  std::string Body;
};

/// The worker ran the request and reported failure.
struct AttemptFailed {
  std::string Body;
};

/// The worker refused before start: it did not run.
struct AttemptRefused {
  /// Value of the Jayramp-Refused header: busy, leaving or fenced.
  std::string Reason;
};

/// No connection was made: it did not run.
struct AttemptNotSent {
  std::string Detail;
};

/// The connection failed or the answer was cut after something may have been
/// sent: it may or may not have run.
struct AttemptInterrupted {
  std::string Detail;
  /// True if a part of an answer had arrived.
  bool ResponseTruncated = false;
};

using AttemptOutcome =
    std::variant<AttemptSucceeded, AttemptFailed, AttemptRefused,
                 AttemptNotSent, AttemptInterrupted>;

} // namespace jayramp
