#pragma once

#include "Platform/AttemptOutcome.h"
#include "Requests/AttemptDecision.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jayramp {

/// State of one request over its attempts. The first whole answer settles it.
///
/// Not synchronized: the caller holds the request's mutex during every call.
class OutcomeTracker {
public:
  explicit OutcomeTracker(bool IsIdempotent);

  /// Starts an attempt and returns its number, from 1. Nothing if the request
  /// is settled, or is non-idempotent and an attempt may have run or is open.
  auto startAttempt() -> std::optional<std::uint32_t>;

  /// Applies the result of attempt \p Number. Results may come late, twice and
  /// in any order.
  auto recordAttemptResult(std::uint32_t Number, const AttemptOutcome &Result)
      -> AttemptDecision;

  /// Settles the request without an answer: deadline, cancellation, no retry
  /// left. NOT_RUN only if every attempt is known not to have run. Returns the
  /// earlier outcome if it was settled before.
  auto settleWithoutAnswer(std::string_view Detail) -> RequestOutcome;

  auto outcome() const -> const std::optional<RequestOutcome> &;
  auto attemptCount() const -> std::uint32_t;
  /// Attempts that may have reached a worker.
  auto sentAttemptCount() const -> std::uint32_t;
  auto openAttemptCount() const -> std::uint32_t;
  auto lateResultCount() const -> std::uint32_t;
  auto duplicateResultCount() const -> std::uint32_t;
  auto mayHaveRun() const -> bool;

private:
  enum class AttemptState { Open, NotRun, MayHaveRun, Ended };

  bool Idempotent;
  std::map<std::uint32_t, AttemptState> States;
  std::optional<RequestOutcome> Settled;
  std::optional<std::string> FailureBody; ///< Of an idempotent attempt.
  std::uint32_t Late = 0;
  std::uint32_t Duplicates = 0;
};

} // namespace jayramp
