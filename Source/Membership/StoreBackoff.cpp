#include "Membership/StoreBackoff.h"

#include <algorithm>

namespace jayramp {

namespace {

constexpr int InitialDelayMs = 100;
constexpr int MaxDelayMs = 1000;
constexpr unsigned MaxDoublings = 4;

} // namespace

auto StoreBackoff::nextDelay() -> Milliseconds {
  int UpperBoundMs =
      std::min(InitialDelayMs << std::min(Failures, MaxDoublings), MaxDelayMs);
  ++Failures;
  return Milliseconds(std::uniform_int_distribution<int>(
      UpperBoundMs / 2, UpperBoundMs)(Generator));
}

} // namespace jayramp
