#include "ShardFixture.h"

namespace jayramp::test {
namespace {

using scheduling::JobState;
using shard::OrderOutcome;

/// A worker that answers all queries but starts nothing, beside one with room.
class StartBoundTest : public ShardFixture {
protected:
  /// Returns whether job a is completed although each start on the worker that
  /// is tried first has \p Outcome.
  auto isCompletedBesideWorkerWith(OrderOutcome Outcome) -> bool {
    for (const auto *Id : {"w1", "w2"})
      Registry.add(Id);
    Workers["w1"].StartOutcome = Outcome;
    startOwner();
    runFor(Milliseconds(30));
    submit(job("a"));
    return runUntil([&] { return stateOf("a") == JobState::Completed; },
                    LongestWait);
  }

  /// No job may have nothing running for longer.
  static constexpr Milliseconds LongestWait{3000};
  /// After which a run without progress is stopped.
  static constexpr Milliseconds StallTimeout =
      scheduling::SchedulingPolicy{}.StallTimeout;
};

// Guards against a task that stays for ever on a worker that answers no start.
TEST_F(StartBoundTest, startThatIsNeverAnsweredIsRepeatedForEver) {
  EXPECT_TRUE(isCompletedBesideWorkerWith(OrderOutcome::Unanswered));
  EXPECT_FALSE(Workers["w1"].StoppedOrEnded.empty())
      << "The start may still arrive.";
}

// Guards against a task that stays for ever on a worker to which no connection
// can be had for a start.
TEST_F(StartBoundTest, startThatIsNeverSentIsRepeatedForEver) {
  EXPECT_TRUE(isCompletedBesideWorkerWith(OrderOutcome::NotSent));
}

// Guards against a task that stays for ever on a worker at which the leases of
// all starts have expired.
TEST_F(StartBoundTest, startThatAlwaysArrivesLateIsRepeatedForEver) {
  EXPECT_TRUE(isCompletedBesideWorkerWith(OrderOutcome::LeaseExpired));
}

// Guards against a task that is placed on a worker again that refuses it.
TEST_F(StartBoundTest, startThatIsRefusedIsRepeatedForEver) {
  EXPECT_TRUE(isCompletedBesideWorkerWith(OrderOutcome::Refused));
}

// Guards against a task that is placed on a worker again where each start finds
// another process than the queries.
TEST_F(StartBoundTest, startThatFindsAnotherProcessIsRepeatedForEver) {
  EXPECT_TRUE(isCompletedBesideWorkerWith(OrderOutcome::WrongIncarnation));
}

// Guards against a task that stays for ever on a worker whose replies do not
// tell its clock, without which no lease can be granted.
TEST_F(StartBoundTest, workerThatTellsNoClockKeepsATaskForEver) {
  for (const auto *Id : {"w1", "w2"})
    Registry.add(Id);
  Workers["w1"].TellsClock = false;
  startOwner();
  runFor(Milliseconds(30));
  submit(job("a"));
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; },
                       LongestWait));
}

// Guards against a run without progress that is never over: its worker answers
// renewals, each of which extends its lease, but no stop.
TEST_F(StartBoundTest, leaseOfARunThatCannotBeStoppedIsRenewedForEver) {
  ASSERT_NO_FATAL_FAILURE(startOwnerWithLongRun());
  Workers["w1"].LosesStops = true;
  Registry.add("w2");
  EXPECT_TRUE(runUntil([&] { return stateOf("a") == JobState::Completed; },
                       StallTimeout + LongestWait));
}

} // namespace
} // namespace jayramp::test
