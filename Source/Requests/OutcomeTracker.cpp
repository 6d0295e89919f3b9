#include "Requests/OutcomeTracker.h"

#include "Base/Overloaded.h"
#include <algorithm>
#include <utility>

namespace jayramp {

OutcomeTracker::OutcomeTracker(bool IsIdempotent)
    : IsIdempotent(IsIdempotent) {}

auto OutcomeTracker::startAttempt() -> std::optional<std::uint32_t> {
  if (FinalOutcome || (!IsIdempotent && mayHaveRun()))
    return std::nullopt;
  auto Number = static_cast<std::uint32_t>(AttemptStates.size()) + 1;
  AttemptStates.emplace(Number, AttemptState::Open);
  return Number;
}

auto OutcomeTracker::recordAttemptResult(std::uint32_t Number,
                                         const AttemptOutcome &Result)
    -> AttemptDecision {
  auto Position = AttemptStates.find(Number);
  if (Position == AttemptStates.end()) {
    ++DuplicateResultCount;
    return AttemptResultDuplicate{};
  }
  AttemptState &State = Position->second;
  bool IsFirstResult = State == AttemptState::Open;
  if (FinalOutcome) {
    ++(IsFirstResult ? LateResultCount : DuplicateResultCount);
    if (IsFirstResult)
      State = AttemptState::Ended;
    return IsFirstResult ? AttemptDecision(AttemptResultLate{})
                         : AttemptResultDuplicate{};
  }
  // A complete result may arrive after the attempt was recorded as broken, for
  // example after its timeout. It is still a valid answer to the request.
  bool IsCompleteResult = std::holds_alternative<AttemptSucceeded>(Result) ||
                          std::holds_alternative<AttemptFailed>(Result);
  if (!IsFirstResult &&
      !(IsCompleteResult && State == AttemptState::MayHaveRun)) {
    ++DuplicateResultCount;
    return AttemptResultDuplicate{};
  }
  auto Settle = [this](RequestOutcome Outcome) -> AttemptDecision {
    FinalOutcome = std::move(Outcome);
    return AttemptSettlesRequest{*FinalOutcome};
  };
  auto DecideRetry = [this](std::string Detail) -> AttemptDecision {
    if (openAttemptCount() > 0)
      return OtherAttemptsOpen{};
    return AttemptAllowsRetry{std::move(Detail)};
  };
  return std::visit(
      Overloaded{[&](const AttemptSucceeded &Answer) {
                   State = AttemptState::Ended;
                   return Settle(OutcomeAnswered{Answer.Body});
                 },
                 [&](const AttemptFailed &Failure) {
                   State = AttemptState::Ended;
                   if (!IsIdempotent)
                     return Settle(OutcomeFailed{Failure.Body});
                   // Another worker may still answer. If none does,
                   // settleWithoutAnswer() reports this failure.
                   IdempotentFailureBody = Failure.Body;
                   return DecideRetry("the worker reported a failure");
                 },
                 [&](const AttemptRefused &Refusal) {
                   State = AttemptState::NotRun;
                   return DecideRetry("the worker refused the request: " +
                                      Refusal.Reason);
                 },
                 [&](const AttemptNotSent &Failure) {
                   State = AttemptState::NotRun;
                   return DecideRetry("the request was not sent: " +
                                      Failure.Detail);
                 },
                 [&](const AttemptInterrupted &Failure) {
                   State = AttemptState::MayHaveRun;
                   std::string Detail = (Failure.ResponseTruncated
                                             ? "the answer was cut off: "
                                             : "the connection was lost: ") +
                                        Failure.Detail;
                   if (!IsIdempotent)
                     return Settle(OutcomeUnknown{std::move(Detail)});
                   return DecideRetry(std::move(Detail));
                 }},
      Result);
}

auto OutcomeTracker::settleWithoutAnswer(std::string_view Detail)
    -> RequestOutcome {
  if (FinalOutcome)
    return *FinalOutcome;
  if (IdempotentFailureBody)
    FinalOutcome = OutcomeFailed{*IdempotentFailureBody};
  else if (mayHaveRun())
    FinalOutcome = OutcomeUnknown{std::string(Detail)};
  else
    FinalOutcome = OutcomeNotRun{std::string(Detail)};
  return *FinalOutcome;
}

auto OutcomeTracker::outcome() const -> const std::optional<RequestOutcome> & {
  return FinalOutcome;
}

auto OutcomeTracker::attemptCount() const -> std::uint32_t {
  return static_cast<std::uint32_t>(AttemptStates.size());
}

auto OutcomeTracker::sentAttemptCount() const -> std::uint32_t {
  return static_cast<std::uint32_t>(std::count_if(
      AttemptStates.begin(), AttemptStates.end(),
      [](const auto &Item) { return Item.second != AttemptState::NotRun; }));
}

auto OutcomeTracker::openAttemptCount() const -> std::uint32_t {
  return static_cast<std::uint32_t>(std::count_if(
      AttemptStates.begin(), AttemptStates.end(),
      [](const auto &Item) { return Item.second == AttemptState::Open; }));
}

auto OutcomeTracker::lateResultCount() const -> std::uint32_t {
  return LateResultCount;
}

auto OutcomeTracker::duplicateResultCount() const -> std::uint32_t {
  return DuplicateResultCount;
}

auto OutcomeTracker::mayHaveRun() const -> bool {
  return sentAttemptCount() > 0;
}

} // namespace jayramp
