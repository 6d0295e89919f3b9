#include "Scheduling/RetryBackoff.h"

#include <algorithm>

namespace jayramp::scheduling {

namespace {

/// Keeps the doubled delay within the range of its type.
constexpr unsigned MaxDoublings = 16;

} // namespace

auto RetryBackoff::recordFailure(const Limits &Given, TimePoint Now) -> void {
  if (!isOver(Now))
    return;
  const auto Doublings = std::min(Failures, MaxDoublings);
  ++Failures;
  Until = Now + std::min(Given.First * (1 << Doublings), Given.Longest);
}

} // namespace jayramp::scheduling
