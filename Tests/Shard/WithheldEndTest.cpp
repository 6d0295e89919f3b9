#include "EventRecorder.h"
#include "ShardFixture.h"

namespace jayramp::test {
namespace {

using scheduling::JobState;

/// Checks what becomes of a worker that lists the success of a run which was
/// taken for over and whose task has been started again since.
class WithheldEndTest : public ShardFixture {
protected:
  /// Runs the task of the job "a" on the worker w1, which falls silent before
  /// it ends.
  auto startTaskOnWorkerThatFallsSilent() -> void {
    Registry.add("w1");
    Workers["w1"].WorkTime = Milliseconds(50);
    startOwner();
    submit(job("a"));
    ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
    Workers["w1"].Unresponsive = true;
  }

  /// Adds the worker w2 and waits until the task runs there.
  auto waitUntilTaskIsRepeated() -> void {
    Workers["w2"].WorkTime = Milliseconds(100);
    Registry.add("w2");
    ASSERT_TRUE(runUntil([&] { return Workers["w2"].Started.size() == 1; }));
  }

  /// Submits a job that needs all accelerators of both workers.
  auto submitJobForBothWorkers() -> void { submit(job("b", 16)); }

  EventRecorder Events;
};

// Guards against a worker that stands idle beside waiting tasks because it
// lists a success that came while it was cut off for longer than its leases.
TEST_F(WithheldEndTest, workerWithALateSuccessGetsTasksAtOnceAfterALapse) {
  ASSERT_NO_FATAL_FAILURE(startTaskOnWorkerThatFallsSilent());
  ASSERT_NO_FATAL_FAILURE(waitUntilTaskIsRepeated());
  Workers["w1"].Unresponsive = false;
  ASSERT_TRUE(runUntil([&] { return Events.count("worker-reached") > 0; }));
  ASSERT_TRUE(runUntil([&] { return Workers["w1"].LastSeenEnd == 1; },
                       Milliseconds(500)));
  submitJobForBothWorkers();
  EXPECT_TRUE(runUntil([&] { return Workers["w1"].Started.size() == 9; },
                       Milliseconds(500)));
  EXPECT_TRUE(runUntil([&] { return stateOf("b") == JobState::Completed; }));
  EXPECT_EQ(Workers.startsOf("a"), 2U);
  EXPECT_EQ(Workers.startsAfterKnownSuccess(), 0U);
}

// Guards against acknowledging a success after which the task was started
// again, while a lease may hold: the worker has left after a drain, so its run
// was taken for over before its lease had expired.
TEST_F(WithheldEndTest, lateSuccessIsWithheldUntilTheLeasesAreOver) {
  Settings.LeaseDuration = Milliseconds(2000);
  ASSERT_NO_FATAL_FAILURE(startTaskOnWorkerThatFallsSilent());
  Registry.drain("w1");
  ASSERT_TRUE(runUntil([&] { return Events.count("worker-unreachable") > 0; }));
  Registry.remove("w1");
  ASSERT_NO_FATAL_FAILURE(waitUntilTaskIsRepeated());
  Workers["w1"].Unresponsive = false;
  Registry.add("w1");
  ASSERT_TRUE(runUntil([&] { return Events.count("end-withheld") > 0; }));
  submitJobForBothWorkers();
  EXPECT_TRUE(runUntil([&] { return stateOf("b") == JobState::Completed; }));
  EXPECT_LT(Clock::now(), Workers["w1"].LeaseUntil);
  EXPECT_EQ(Workers["w1"].LastSeenEnd, 0U);
  EXPECT_EQ(Workers["w1"].Started.size(), 1U);

  EXPECT_TRUE(runUntil([&] { return Workers["w1"].LastSeenEnd == 1; }));
  EXPECT_GE(Clock::now(), Workers["w1"].LeaseUntil);
  EXPECT_EQ(Events.count("end-released", "reason=lease-expired"), 1U);
  Workers["w2"].WorkTime = Milliseconds(60000);
  submit(job("c", 16));
  EXPECT_TRUE(runUntil([&] { return Workers["w1"].Started.size() > 1; },
                       Milliseconds(1500)));
  EXPECT_EQ(Workers.startsAfterKnownSuccess(), 0U);
}

} // namespace
} // namespace jayramp::test
