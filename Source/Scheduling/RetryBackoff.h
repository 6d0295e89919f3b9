#pragma once

#include "Base/Clock.h"

namespace jayramp::scheduling {

/// The delay before something is tried again that failed several times in a
/// row. It doubles with each failure up to a limit.
class RetryBackoff {
public:
  struct Limits {
    Milliseconds First{0};
    Milliseconds Longest{0};
  };

  // Commands.

  /// Records a failure. Failures before the delay of the last one is over count
  /// as one.
  auto recordFailure(const Limits &Given, TimePoint Now) -> void;
  /// Ends the row of failures.
  auto recordSuccess() -> void { *this = {}; }

  // Queries.

  /// Returns the time before which nothing is tried again; the epoch if there
  /// was no failure.
  auto until() const -> TimePoint { return Until; }
  auto isOver(TimePoint Now) const -> bool { return Now >= Until; }

private:
  unsigned Failures = 0;
  TimePoint Until;
};

} // namespace jayramp::scheduling
