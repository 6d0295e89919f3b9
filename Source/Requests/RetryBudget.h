#pragma once

#include "Base/Result.h"
#include "Requests/RetryPolicy.h"

#include <random>

namespace jayramp {

/// Token bucket that limits retries to a share of the first attempts, so that
/// retries cannot multiply the load of an overloaded or failing worker.
///
/// Not synchronized: the caller holds one mutex during every call.
class RetryBudget {
public:
  /// Returns InvalidArgument if a value of \p Policy is out of range.
  static auto make(RetryPolicy Policy) -> Result<RetryBudget>;

  /// Sets the retries that each first attempt earns. Returns false, without a
  /// change, unless \p Share is from 0 to 1.
  auto setShare(double Share) -> bool;

  /// Adds the share of a retry that the first attempt of a request earns.
  auto recordFirstAttempt() -> void;

  /// Removes one retry from the budget. Returns false if there is none left.
  auto tryTakeRetry() -> bool;

  /// Returns the time to wait before retry \p Number, counted from 1. It is
  /// uniformly distributed from 0 to a limit that doubles with each retry, so
  /// that retries after one fault do not coincide.
  auto backoff(std::uint32_t Number) -> Milliseconds;

  /// Returns the retries left, which may be a fraction.
  auto availableRetries() const -> double;

private:
  explicit RetryBudget(RetryPolicy Policy);

  RetryPolicy Policy;
  double Tokens;
  std::mt19937_64 Random;
};

} // namespace jayramp
