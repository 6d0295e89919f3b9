#include "Requests/OutcomeTracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace jayramp {
namespace {

/// Treats any answer as whole, as a client does that checks only the status.
class NaiveTracker {
public:
  auto attemptEnded(const AttemptOutcome &Result) -> void {
    if (const auto *Answer = std::get_if<AttemptSucceeded>(&Result))
      Body = Answer->Body;
    if (const auto *Broken = std::get_if<AttemptInterrupted>(&Result))
      if (Broken->ResponseTruncated)
        Body = Broken->Detail;
  }
  std::string Body;
};

auto resultOf(std::uint32_t Kind, const std::string &Body) -> AttemptOutcome {
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

// Guards against answers that are cut, replaced by a later one or reported as
// not run, for any order of late, doubled and cut results.
RC_GTEST_PROP(OutcomeTrackerTest, reportsTruthForAnyOrder,
              (bool Idempotent, std::vector<std::uint32_t> Choices)) {
  OutcomeTracker Tracker(Idempotent);
  std::set<std::string> Whole;
  std::set<std::string> Failures;
  std::optional<RequestOutcome> FirstOutcome;
  std::uint32_t Started = 0;
  std::uint32_t MayHaveRun = 0;
  std::map<std::uint32_t, bool> FirstResultSeen;
  for (std::uint32_t Choice : Choices) {
    if (Choice % 3 == 0) {
      if (auto Number = Tracker.startAttempt()) {
        RC_ASSERT(*Number == ++Started);
        // At most one attempt of a non-idempotent request may have run.
        ++MayHaveRun;
        if (!Idempotent)
          RC_ASSERT(MayHaveRun == 1U);
      }
      continue;
    }
    std::uint32_t Number = Choice / 3 % (Started + 2);
    std::string Body = "answer-" + std::to_string(Choice);
    AttemptOutcome Result = resultOf(Choice / 7, Body);
    auto Decision = Tracker.attemptEnded(Number, Result);
    bool Known = Number >= 1 && Number <= Started;
    if (Known && !FirstResultSeen[Number]) {
      FirstResultSeen[Number] = true;
      bool NotRun = std::holds_alternative<AttemptRefused>(Result) ||
                    std::holds_alternative<AttemptNotSent>(Result);
      if (NotRun && !FirstOutcome)
        --MayHaveRun;
    }
    if (Known && std::holds_alternative<AttemptSucceeded>(Result))
      Whole.insert(Body);
    if (Known && std::holds_alternative<AttemptFailed>(Result))
      Failures.insert(Body);
    if (FirstOutcome)
      RC_ASSERT(!std::holds_alternative<AttemptSettlesRequest>(Decision));
    if (Tracker.outcome()) {
      if (!FirstOutcome)
        FirstOutcome = Tracker.outcome();
      RC_ASSERT(*Tracker.outcome() == *FirstOutcome);
    }
  }
  RequestOutcome Final = Tracker.close("deadline");
  if (FirstOutcome)
    RC_ASSERT(Final == *FirstOutcome);
  if (const auto *Answer = std::get_if<OutcomeAnswered>(&Final))
    RC_ASSERT(Whole.count(Answer->Body) == 1U);
  if (const auto *Failure = std::get_if<OutcomeFailed>(&Final))
    RC_ASSERT(Failures.count(Failure->Body) == 1U);
  if (std::holds_alternative<OutcomeNotRun>(Final))
    RC_ASSERT(MayHaveRun == 0U);
  if (std::holds_alternative<OutcomeUnknown>(Final))
    RC_ASSERT(MayHaveRun > 0U);
}

// Guards against a cut answer that passes for a whole one; the naive variant
// accepts it.
TEST(OutcomeTrackerTest, cutAnswerIsNeverWhole) {
  AttemptOutcome Cut = AttemptInterrupted{"ans", true};
  NaiveTracker Naive;
  Naive.attemptEnded(Cut);
  EXPECT_EQ(Naive.Body, "ans");
  OutcomeTracker Tracker(false);
  auto Number = Tracker.startAttempt();
  auto Decision = Tracker.attemptEnded(*Number, Cut);
  ASSERT_TRUE(std::holds_alternative<AttemptSettlesRequest>(Decision));
  EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(
      std::get<AttemptSettlesRequest>(Decision).Outcome));
  EXPECT_EQ(Tracker.startAttempt(), std::nullopt);
}

// Guards against a doubled answer that replaces the first; the naive variant
// ends with the second.
TEST(OutcomeTrackerTest, firstWholeAnswerWins) {
  NaiveTracker Naive;
  Naive.attemptEnded(AttemptSucceeded{"first"});
  Naive.attemptEnded(AttemptSucceeded{"second"});
  EXPECT_EQ(Naive.Body, "second");
  OutcomeTracker Tracker(true);
  auto One = *Tracker.startAttempt();
  auto Two = *Tracker.startAttempt();
  // The first attempt timed out, but its whole answer comes before any other.
  EXPECT_TRUE(std::holds_alternative<OtherAttemptsOpen>(
      Tracker.attemptEnded(One, AttemptInterrupted{"timeout", false})));
  EXPECT_TRUE(std::holds_alternative<AttemptSettlesRequest>(
      Tracker.attemptEnded(One, AttemptSucceeded{"first"})));
  EXPECT_TRUE(std::holds_alternative<AttemptResultLate>(
      Tracker.attemptEnded(Two, AttemptSucceeded{"second"})));
  EXPECT_TRUE(std::holds_alternative<AttemptResultDuplicate>(
      Tracker.attemptEnded(Two, AttemptSucceeded{"second"})));
  EXPECT_EQ(Tracker.lateResults(), 1U);
  EXPECT_EQ(Tracker.duplicateResults(), 1U);
  EXPECT_EQ(std::get<OutcomeAnswered>(Tracker.close("")).Body, "first");
}

// Guards against NOT_RUN while an attempt may be running, and against FAILED
// results of idempotent requests that hide the chance of another worker.
TEST(OutcomeTrackerTest, closesByWhatIsKnown) {
  OutcomeTracker Refused(false);
  auto Number = *Refused.startAttempt();
  EXPECT_TRUE(std::holds_alternative<AttemptAllowsRetry>(
      Refused.attemptEnded(Number, AttemptRefused{"leaving"})));
  EXPECT_TRUE(Refused.startAttempt().has_value());
  EXPECT_TRUE(
      std::holds_alternative<OutcomeUnknown>(Refused.close("deadline")));
  OutcomeTracker Idle(false);
  EXPECT_TRUE(std::holds_alternative<OutcomeNotRun>(Idle.close("cancelled")));
  OutcomeTracker Failed(true);
  Number = *Failed.startAttempt();
  EXPECT_TRUE(std::holds_alternative<AttemptAllowsRetry>(
      Failed.attemptEnded(Number, AttemptFailed{"error"})));
  EXPECT_EQ(std::get<OutcomeFailed>(Failed.close("no retry")).Body, "error");
}

} // namespace
} // namespace jayramp
