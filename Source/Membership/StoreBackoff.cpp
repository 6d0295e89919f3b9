#include "Membership/StoreBackoff.h"

#include <algorithm>

namespace jayramp {

namespace {

constexpr int FirstDelayMs = 100;
constexpr int LongestDelayMs = 1000;
constexpr unsigned LongestShift = 4;

} // namespace

auto StoreBackoff::fail() -> Milliseconds {
  int Longest = std::min(FirstDelayMs << std::min(Failures, LongestShift),
                         LongestDelayMs);
  ++Failures;
  return Milliseconds(
      std::uniform_int_distribution<int>(Longest / 2, Longest)(Generator));
}

} // namespace jayramp
