#include "ShardFixture.h"

namespace jayramp::test {
namespace {

/// A worker that stays registered while it cannot be reached.
class WorkerReachabilityTest : public ShardFixture {};

// Guards against a run that is never given up: a change of its worker moves the
// session's next visit behind the time for which the timer is set.
TEST_F(WorkerReachabilityTest, leasesAreCheckedAfterAVisitWasPutOff) {
  Registry.add("w1");
  Workers["w1"].WorkTime = Milliseconds(60000);
  startOwner();
  submit(job("a"));
  ASSERT_TRUE(runUntil([&] { return Workers.startsOf("a") == 1; }));
  Workers["w1"].Unresponsive = true;
  runFor(Milliseconds(300));
  Registry.drain("w1");
  EXPECT_TRUE(runUntil([&] { return Owner->scheduler().runs().empty(); },
                       Milliseconds(3000)));
}

} // namespace
} // namespace jayramp::test
