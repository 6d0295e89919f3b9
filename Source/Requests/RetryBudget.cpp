#include "Requests/RetryBudget.h"

#include <algorithm>

namespace jayramp {

RetryBudget::RetryBudget(RetryPolicy Policy)
    : Policy(Policy), Tokens(Policy.Burst), Random(Policy.Seed) {}

auto RetryBudget::make(RetryPolicy Policy) -> Result<RetryBudget> {
  if (!(Policy.Share >= 0) || Policy.Share > 1)
    return Error::make(ErrorKind::InvalidArgument, "Share",
                       "the share of retries is out of range",
                       "set a value from 0 to 1");
  if (!(Policy.Burst >= 0))
    return Error::make(ErrorKind::InvalidArgument, "Burst",
                       "the maximum number of saved retries is negative",
                       "set 0 or more");
  if (Policy.FirstBackoff <= Milliseconds(0) ||
      Policy.MaxBackoff < Policy.FirstBackoff)
    return Error::make(
        ErrorKind::InvalidArgument, "FirstBackoff",
        "a back-off time is not above 0, or FirstBackoff exceeds MaxBackoff",
        "set 0 < FirstBackoff <= MaxBackoff");
  return RetryBudget(Policy);
}

auto RetryBudget::setShare(double Share) -> bool {
  if (!(Share >= 0) || Share > 1)
    return false;
  Policy.Share = Share;
  return true;
}

auto RetryBudget::recordFirstAttempt() -> void {
  Tokens = std::min(Policy.Burst, Tokens + Policy.Share);
}

auto RetryBudget::tryTakeRetry() -> bool {
  // Ten additions of 0.1 give slightly less than 1 in floating point.
  constexpr double RoundingTolerance = 1e-9;
  if (Tokens < 1.0 - RoundingTolerance)
    return false;
  Tokens = std::max(0.0, Tokens - 1.0);
  return true;
}

auto RetryBudget::backoff(std::uint32_t Number) -> Milliseconds {
  Milliseconds Limit = Policy.FirstBackoff;
  for (std::uint32_t Step = 1; Step < Number && Limit < Policy.MaxBackoff;
       ++Step)
    Limit *= 2;
  Limit = std::min(Limit, Policy.MaxBackoff);
  std::uniform_int_distribution<Milliseconds::rep> Delay(0, Limit.count());
  return Milliseconds(Delay(Random));
}

auto RetryBudget::availableRetries() const -> double { return Tokens; }

} // namespace jayramp
