#include "ShardFixture.h"

namespace jayramp::test {
namespace {

class WorkerRestartTest : public ShardFixture {};

// Guards against running a task twice: the first lease of a worker whose
// process has restarted unnoticed is computed with the clock of its former
// process, so the worker shortens it only to the longest lease it grants.
TEST_F(WorkerRestartTest, leaseByTheClockOfTheFormerProcessIsWaitedFor) {
  Settings.MaxLeaseDuration = Milliseconds(1500);
  Workers.MaxLease = Settings.MaxLeaseDuration;
  Registry.add("w1");
  startOwner();
  runFor(Milliseconds(30));
  Workers.restart("w1");
  Workers["w1"].WorkTime = Milliseconds(60000);
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers["w1"].Started.size() == 1; }));
  runFor(Milliseconds(100));
  Workers["w1"].Unresponsive = true;
  Registry.add("w2");
  Workers["w2"].WorkTime = Milliseconds(60000);
  ASSERT_TRUE(runUntil([&] { return Workers["w2"].Started.size() == 1; }));
  EXPECT_EQ(Workers.runningCopiesOf("a"), 1U);
}

} // namespace
} // namespace jayramp::test
