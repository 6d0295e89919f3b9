#pragma once

#include "Base/Result.h"
#include "Requests/RetryPolicy.h"

#include <random>

namespace jayramp {

/// Limits retries to a share of first attempts, so that they cannot multiply
/// the load of an overloaded or failing worker.
///
/// Not synchronized: the caller holds one mutex during every call.
class RetryBudget {
public:
  static auto make(RetryPolicy Policy) -> Result<RetryBudget>;

  /// Changes the retries per first attempt; false unless from 0 to 1.
  auto setShare(double Share) -> bool;

  /// A request's first attempt earns a share of a retry.
  auto recordFirstAttempt() -> void;

  /// Takes one retry from the budget; false if it is used up.
  auto tryTakeRetry() -> bool;

  /// Time to wait before retry \p Number (1 is the first): uniform between 0
  /// and the doubled limit, so that retries of one fault do not coincide.
  auto backoff(std::uint32_t Number) -> Milliseconds;

  auto availableRetries() const -> double;

private:
  explicit RetryBudget(RetryPolicy Policy);

  RetryPolicy Policy;
  double Tokens;
  std::mt19937_64 Random;
};

} // namespace jayramp
