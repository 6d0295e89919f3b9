#include "Requests/OutcomeTracker.h"

#include "Base/Overloaded.h"
#include <algorithm>
#include <utility>

namespace jayramp {

OutcomeTracker::OutcomeTracker(bool IsIdempotent) : Idempotent(IsIdempotent) {}

auto OutcomeTracker::startAttempt() -> std::optional<std::uint32_t> {
  if (Settled || (!Idempotent && mayHaveRun()))
    return std::nullopt;
  auto Number = static_cast<std::uint32_t>(States.size()) + 1;
  States.emplace(Number, AttemptState::Open);
  return Number;
}

auto OutcomeTracker::attemptEnded(std::uint32_t Number,
                                  const AttemptOutcome &Result)
    -> AttemptDecision {
  auto Position = States.find(Number);
  if (Position == States.end()) {
    ++Duplicates;
    return AttemptResultDuplicate{};
  }
  AttemptState &State = Position->second;
  bool First = State == AttemptState::Open;
  if (Settled) {
    ++(First ? Late : Duplicates);
    if (First)
      State = AttemptState::Ended;
    return First ? AttemptDecision(AttemptResultLate{})
                 : AttemptResultDuplicate{};
  }
  // A whole result may follow after the attempt was given up as broken, for
  // example after its timeout; it is still the request's own answer.
  bool Whole = std::holds_alternative<AttemptSucceeded>(Result) ||
               std::holds_alternative<AttemptFailed>(Result);
  if (!First && !(Whole && State == AttemptState::MayHaveRun)) {
    ++Duplicates;
    return AttemptResultDuplicate{};
  }
  auto Settle = [this](RequestOutcome Outcome) -> AttemptDecision {
    Settled = std::move(Outcome);
    return AttemptSettlesRequest{*Settled};
  };
  auto Continue = [this](std::string Detail) -> AttemptDecision {
    if (openAttempts() > 0)
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
                   if (!Idempotent)
                     return Settle(OutcomeFailed{Failure.Body});
                   // Another worker may answer; close() reports the failure if
                   // not.
                   FailureBody = Failure.Body;
                   return Continue("the worker reported failure");
                 },
                 [&](const AttemptRefused &Refusal) {
                   State = AttemptState::NotRun;
                   return Continue("the worker refused: " + Refusal.Reason);
                 },
                 [&](const AttemptNotSent &Failure) {
                   State = AttemptState::NotRun;
                   return Continue("not sent: " + Failure.Detail);
                 },
                 [&](const AttemptInterrupted &Failure) {
                   State = AttemptState::MayHaveRun;
                   std::string Detail =
                       (Failure.ResponseTruncated ? "answer cut: "
                                                  : "connection lost: ") +
                       Failure.Detail;
                   if (!Idempotent)
                     return Settle(OutcomeUnknown{std::move(Detail)});
                   return Continue(std::move(Detail));
                 }},
      Result);
}

auto OutcomeTracker::close(std::string_view Detail) -> RequestOutcome {
  if (Settled)
    return *Settled;
  if (FailureBody)
    Settled = OutcomeFailed{*FailureBody};
  else if (mayHaveRun())
    Settled = OutcomeUnknown{std::string(Detail)};
  else
    Settled = OutcomeNotRun{std::string(Detail)};
  return *Settled;
}

auto OutcomeTracker::outcome() const -> const std::optional<RequestOutcome> & {
  return Settled;
}

auto OutcomeTracker::attempts() const -> std::uint32_t {
  return static_cast<std::uint32_t>(States.size());
}

auto OutcomeTracker::sentAttempts() const -> std::uint32_t {
  return static_cast<std::uint32_t>(
      std::count_if(States.begin(), States.end(), [](const auto &Item) {
        return Item.second != AttemptState::NotRun;
      }));
}

auto OutcomeTracker::openAttempts() const -> std::uint32_t {
  return static_cast<std::uint32_t>(
      std::count_if(States.begin(), States.end(), [](const auto &Item) {
        return Item.second == AttemptState::Open;
      }));
}

auto OutcomeTracker::lateResults() const -> std::uint32_t { return Late; }

auto OutcomeTracker::duplicateResults() const -> std::uint32_t {
  return Duplicates;
}

auto OutcomeTracker::mayHaveRun() const -> bool { return sentAttempts() > 0; }

} // namespace jayramp
