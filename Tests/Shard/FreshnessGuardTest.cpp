#include "ShardFixture.h"

#include "Shard/FreshnessGuard.h"

namespace jayramp::test {
namespace {

class FreshnessGuardTest : public ShardFixture {};

// Guards against a start on a draining worker: it may be sent as late as its
// timeout permits, so a longer timeout needs a more recent list of workers.
TEST_F(FreshnessGuardTest, longTimeoutsNeedARecentListOfWorkers) {
  Settings.OrderTimeout = Milliseconds(400);
  Settings.MaxWorkerListAge = Milliseconds(1600);
  const shard::FreshnessGuard Guard("pool", Registry, Settings);
  Registry.freeze();
  EXPECT_TRUE(Guard.maySendStarts(Milliseconds(1200)));
  runFor(Milliseconds(820));
  EXPECT_TRUE(Guard.maySendStarts(Milliseconds(400)));
  EXPECT_FALSE(Guard.maySendStarts(Milliseconds(1200)));
  Registry.unfreeze();
  EXPECT_TRUE(Guard.maySendStarts(Milliseconds(1200)));
}

} // namespace
} // namespace jayramp::test
