#pragma once

#include "Platform/AttemptOutcome.h"
#include "Requests/AttemptDecision.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jayramp {

/// Tracks the attempts of one request and derives its final outcome. The first
/// complete answer of a worker settles the request.
///
/// Not thread-safe: the caller holds the request's mutex during every call.
class OutcomeTracker {
public:
  explicit OutcomeTracker(bool IsIdempotent);

  /// Starts an attempt and returns its number, counted from 1. Returns
  /// std::nullopt if the request is settled, or if it is non-idempotent and an
  /// earlier attempt may have run or is still open.
  auto startAttempt() -> std::optional<std::uint32_t>;

  /// Records the result of attempt \p Number and returns what follows for the
  /// request. Results may arrive late, more than once and in any order.
  auto recordAttemptResult(std::uint32_t Number, const AttemptOutcome &Result)
      -> AttemptDecision;

  /// Settles the request without an answer, for example after the deadline, a
  /// cancellation or the last retry, and returns the outcome. The outcome is
  /// OutcomeNotRun only if every attempt is known not to have run. If the
  /// request is already settled, returns the earlier outcome.
  auto settleWithoutAnswer(std::string_view Detail) -> RequestOutcome;

  /// Returns the final outcome; std::nullopt until the request is settled.
  auto outcome() const -> const std::optional<RequestOutcome> &;
  auto attemptCount() const -> std::uint32_t;
  /// Returns the number of attempts that may have reached a worker.
  auto sentAttemptCount() const -> std::uint32_t;
  /// Returns the number of attempts without a result.
  auto openAttemptCount() const -> std::uint32_t;
  /// Returns the number of first results of an attempt that arrived after the
  /// request was settled.
  auto lateResultCount() const -> std::uint32_t;
  /// Returns the number of results that were ignored because their attempt
  /// already had one or was never started.
  auto duplicateResultCount() const -> std::uint32_t;
  /// Returns whether any attempt may have reached a worker.
  auto mayHaveRun() const -> bool;

private:
  enum class AttemptState { Open, NotRun, MayHaveRun, Ended };

  bool IsIdempotent;
  std::map<std::uint32_t, AttemptState> AttemptStates;
  std::optional<RequestOutcome> FinalOutcome;
  /// Body of the last failure that a worker reported; only if idempotent.
  std::optional<std::string> IdempotentFailureBody;
  std::uint32_t LateResultCount = 0;
  std::uint32_t DuplicateResultCount = 0;
};

} // namespace jayramp
