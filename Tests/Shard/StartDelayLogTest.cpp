#include "EventRecorder.h"
#include "ShardFixture.h"

#include "Shard/StartDelayLog.h"

namespace jayramp::test {
namespace {

using scheduling::RunId;
using shard::StartConditions;
using shard::StartDelayReason;
using Mode = FakeRowStore::Mode;

class StartDelayLogTest : public ShardFixture {
protected:
  auto runUntilReported(const std::string &Reason) -> bool {
    return runUntil(
        [&] { return Events.count("start-delayed", "reason=" + Reason) > 0; });
  }

  EventRecorder Events;
};

// Guards against runs that wait for a write of the journal while the log shows
// only that they were placed.
TEST_F(StartDelayLogTest, namesAPlacementThatIsNotStored) {
  Registry.add("w1");
  submit(job("a"));
  runFor(Milliseconds(5));
  startOwner();
  Store.setMode(Mode::Holding);
  ASSERT_TRUE(runUntilReported("not-durable"));
  EXPECT_EQ(Events.count("start-delayed", "worker=w1"), 1U);
  EXPECT_EQ(Workers.startsOf("a"), 0U);
}

// Guards against the same silence while the owner has no recent list of
// workers.
TEST_F(StartDelayLogTest, namesAnOldListOfWorkers) {
  Settings.MaxWorkerListAge = Milliseconds(50);
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(50));
  Registry.freeze();
  runFor(Milliseconds(60));
  submit(job("a"));
  EXPECT_TRUE(runUntilReported("worker-list-old"));
}

// Guards against the same silence while a worker answers no start.
TEST_F(StartDelayLogTest, namesAWorkerThatDoesNotAnswer) {
  Settings.LeaseDuration = Milliseconds(5000);
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(200));
  Workers["w1"].Unresponsive = true;
  submit(job("a"));
  EXPECT_TRUE(runUntilReported("worker-not-answering"));
}

// Guards against the same silence after a takeover, while the worker of a
// recovered run does not answer.
TEST_F(StartDelayLogTest, namesTheLeasesOfAPredecessor) {
  Settings.LeaseDuration = Milliseconds(5000);
  ASSERT_NO_FATAL_FAILURE(startOwnerWithLongRun());
  Owner.reset();
  Workers["w1"].Unresponsive = true;
  startOwner(2);
  EXPECT_TRUE(runUntilReported("predecessor-leases"));
}

// Guards against lines about runs that start at once.
TEST_F(StartDelayLogTest, isSilentAboutRunsThatStart) {
  ASSERT_NO_FATAL_FAILURE(startOwnerWithLongRun());
  runFor(Milliseconds(1500));
  EXPECT_EQ(Events.count("start-delayed"), 0U);
}

// Guards against a condition that holds a start back and has no reason.
TEST_F(StartDelayLogTest, namesEachConditionThatIsNotMet) {
  using Reason = StartDelayReason;
  const auto ReasonOf = [](bool StartConditions::*Condition, bool Value) {
    StartConditions Conditions;
    Conditions.*Condition = Value;
    return Conditions.delayReason();
  };
  EXPECT_EQ(StartConditions().delayReason(), std::nullopt);
  EXPECT_EQ(ReasonOf(&StartConditions::RunsKnown, false), Reason::RunsUnknown);
  EXPECT_EQ(ReasonOf(&StartConditions::WorkerAnswers, false),
            Reason::WorkerNotAnswering);
  EXPECT_EQ(ReasonOf(&StartConditions::AnswerPending, true),
            Reason::WorkerNotAnswering);
  EXPECT_EQ(ReasonOf(&StartConditions::RetryDue, false), Reason::StartRejected);
  EXPECT_EQ(ReasonOf(&StartConditions::Durable, false), Reason::NotDurable);
  EXPECT_EQ(ReasonOf(&StartConditions::WorkerListFresh, false),
            Reason::WorkerListOld);
  EXPECT_EQ(ReasonOf(&StartConditions::ClosedZonesFresh, false),
            Reason::ClosedZonesOld);
  EXPECT_EQ(ReasonOf(&StartConditions::LeasesPermitted, false),
            Reason::LeaseNotGranted);
  EXPECT_EQ(ReasonOf(&StartConditions::ClockKnown, false),
            Reason::ClockUnknown);
}

// Guards against a large gang whose runs all wait and fill the log.
TEST_F(StartDelayLogTest, limitsTheLinesOfAllRunsTogether) {
  shard::StartDelayLog Log;
  const auto PlacedAt = Clock::now();
  constexpr std::uint32_t Runs = 100;
  const auto ReportAll = [&](Milliseconds Waited) {
    for (std::uint32_t Index = 0; Index < Runs; ++Index)
      Log.report({RunId{"a", 0, Index, 1}, "w1", StartDelayReason::NotDurable,
                  PlacedAt},
                 PlacedAt + Waited);
  };
  ReportAll(Milliseconds(999));
  EXPECT_EQ(Events.count("start-delayed"), 0U);
  ReportAll(Milliseconds(1000));
  EXPECT_EQ(Events.count("start-delayed"), 4U);
  ReportAll(Milliseconds(1249));
  EXPECT_EQ(Events.count("start-delayed"), 4U);
  ReportAll(Milliseconds(1250));
  EXPECT_EQ(Events.count("start-delayed"), 8U);
  // The runs that were named wait for their next line; others are named first.
  EXPECT_EQ(Events.count("start-delayed", "run=a/0/7#1"), 1U);
}

} // namespace
} // namespace jayramp::test
