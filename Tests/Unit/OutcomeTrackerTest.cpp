#include "Requests/OutcomeTracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace jayramp {
namespace {

/// Treats every answer as complete, like a client that checks only the status.
class NaiveTracker {
public:
  auto recordAttemptResult(const AttemptOutcome &Result) -> void {
    if (const auto *Answer = std::get_if<AttemptSucceeded>(&Result))
      Body = Answer->Body;
    if (const auto *Broken = std::get_if<AttemptInterrupted>(&Result))
      if (Broken->ResponseTruncated)
        Body = Broken->Detail;
  }
  std::string Body;
};

/// Returns one of six kinds of attempt results.
auto makeResult(std::uint32_t Kind, const std::string &Body) -> AttemptOutcome {
  switch (Kind % 6) {
  case 0:
    return AttemptSucceeded{Body};
  case 1:
    return AttemptFailed{Body};
  case 2:
    return AttemptRefused{"busy"};
  case 3:
    return AttemptNotSent{"refused connection"};
  case 4:
    return AttemptInterrupted{Body.substr(0, Body.size() / 2), true};
  default:
    return AttemptInterrupted{"timeout", false};
  }
}

// Guards against outcomes with a truncated answer, answers that a later one
// replaces, and requests that ran but are reported as not run. Covers any order
// of late, duplicate and truncated results.
RC_GTEST_PROP(OutcomeTrackerTest, outcomeMatchesResultsInAnyOrder,
              (bool Idempotent, std::vector<std::uint32_t> Choices)) {
  OutcomeTracker Tracker(Idempotent);
  std::set<std::string> CompleteAnswers;
  std::set<std::string> FailureBodies;
  std::optional<RequestOutcome> FirstOutcome;
  std::uint32_t StartedCount = 0;
  std::uint32_t MayHaveRunCount = 0;
  std::map<std::uint32_t, bool> FirstResultSeen;
  for (std::uint32_t Choice : Choices) {
    if (Choice % 3 == 0) {
      if (auto Number = Tracker.startAttempt()) {
        RC_ASSERT(*Number == ++StartedCount);
        // At most one attempt of a non-idempotent request may have run.
        ++MayHaveRunCount;
        if (!Idempotent)
          RC_ASSERT(MayHaveRunCount == 1U);
      }
      continue;
    }
    std::uint32_t Number = Choice / 3 % (StartedCount + 2);
    std::string Body = "answer-" + std::to_string(Choice);
    AttemptOutcome Result = makeResult(Choice / 7, Body);
    auto Decision = Tracker.recordAttemptResult(Number, Result);
    bool IsStarted = Number >= 1 && Number <= StartedCount;
    if (IsStarted && !FirstResultSeen[Number]) {
      FirstResultSeen[Number] = true;
      bool NotRun = std::holds_alternative<AttemptRefused>(Result) ||
                    std::holds_alternative<AttemptNotSent>(Result);
      if (NotRun && !FirstOutcome)
        --MayHaveRunCount;
    }
    if (IsStarted && std::holds_alternative<AttemptSucceeded>(Result))
      CompleteAnswers.insert(Body);
    if (IsStarted && std::holds_alternative<AttemptFailed>(Result))
      FailureBodies.insert(Body);
    if (FirstOutcome)
      RC_ASSERT(!std::holds_alternative<AttemptSettlesRequest>(Decision));
    if (Tracker.outcome()) {
      if (!FirstOutcome)
        FirstOutcome = Tracker.outcome();
      RC_ASSERT(*Tracker.outcome() == *FirstOutcome);
    }
  }
  RequestOutcome FinalOutcome = Tracker.settleWithoutAnswer("deadline");
  if (FirstOutcome)
    RC_ASSERT(FinalOutcome == *FirstOutcome);
  if (const auto *Answer = std::get_if<OutcomeAnswered>(&FinalOutcome))
    RC_ASSERT(CompleteAnswers.count(Answer->Body) == 1U);
  if (const auto *Failure = std::get_if<OutcomeFailed>(&FinalOutcome))
    RC_ASSERT(FailureBodies.count(Failure->Body) == 1U);
  if (std::holds_alternative<OutcomeNotRun>(FinalOutcome))
    RC_ASSERT(MayHaveRunCount == 0U);
  if (std::holds_alternative<OutcomeUnknown>(FinalOutcome))
    RC_ASSERT(MayHaveRunCount > 0U);
}

// Guards against accepting a truncated answer as complete, as the naive tracker
// does.
TEST(OutcomeTrackerTest, truncatedAnswerMakesOutcomeUnknown) {
  AttemptOutcome Truncated = AttemptInterrupted{"ans", true};
  NaiveTracker Naive;
  Naive.recordAttemptResult(Truncated);
  EXPECT_EQ(Naive.Body, "ans");
  OutcomeTracker Tracker(false);
  auto Number = Tracker.startAttempt();
  auto Decision = Tracker.recordAttemptResult(*Number, Truncated);
  ASSERT_TRUE(std::holds_alternative<AttemptSettlesRequest>(Decision));
  EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(
      std::get<AttemptSettlesRequest>(Decision).Outcome));
  EXPECT_EQ(Tracker.startAttempt(), std::nullopt);
}

// Guards against a second answer that replaces the first, as it does in the
// naive tracker.
TEST(OutcomeTrackerTest, firstCompleteAnswerSettlesRequest) {
  NaiveTracker Naive;
  Naive.recordAttemptResult(AttemptSucceeded{"first"});
  Naive.recordAttemptResult(AttemptSucceeded{"second"});
  EXPECT_EQ(Naive.Body, "second");
  OutcomeTracker Tracker(true);
  auto One = *Tracker.startAttempt();
  auto Two = *Tracker.startAttempt();
  // The first attempt timed out, but its complete answer arrives before any
  // other.
  EXPECT_TRUE(std::holds_alternative<OtherAttemptsOpen>(
      Tracker.recordAttemptResult(One, AttemptInterrupted{"timeout", false})));
  EXPECT_TRUE(std::holds_alternative<AttemptSettlesRequest>(
      Tracker.recordAttemptResult(One, AttemptSucceeded{"first"})));
  EXPECT_TRUE(std::holds_alternative<AttemptResultLate>(
      Tracker.recordAttemptResult(Two, AttemptSucceeded{"second"})));
  EXPECT_TRUE(std::holds_alternative<AttemptResultDuplicate>(
      Tracker.recordAttemptResult(Two, AttemptSucceeded{"second"})));
  EXPECT_EQ(Tracker.lateResultCount(), 1U);
  EXPECT_EQ(Tracker.duplicateResultCount(), 1U);
  EXPECT_EQ(std::get<OutcomeAnswered>(Tracker.settleWithoutAnswer("")).Body,
            "first");
}

// Guards against the outcome NOT_RUN while an attempt may be running, and
// against settling an idempotent request as FAILED while another worker may
// still answer.
TEST(OutcomeTrackerTest, outcomeWithoutAnswerDependsOnAttempts) {
  OutcomeTracker Refused(false);
  auto Number = *Refused.startAttempt();
  EXPECT_TRUE(std::holds_alternative<AttemptAllowsRetry>(
      Refused.recordAttemptResult(Number, AttemptRefused{"leaving"})));
  EXPECT_TRUE(Refused.startAttempt().has_value());
  EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(
      Refused.settleWithoutAnswer("deadline")));
  OutcomeTracker NoAttempt(false);
  EXPECT_TRUE(std::holds_alternative<OutcomeNotRun>(
      NoAttempt.settleWithoutAnswer("cancelled")));
  OutcomeTracker Failed(true);
  Number = *Failed.startAttempt();
  EXPECT_TRUE(std::holds_alternative<AttemptAllowsRetry>(
      Failed.recordAttemptResult(Number, AttemptFailed{"error"})));
  EXPECT_EQ(
      std::get<OutcomeFailed>(Failed.settleWithoutAnswer("no retry")).Body,
      "error");
}

} // namespace
} // namespace jayramp
