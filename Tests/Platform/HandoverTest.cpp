// Two real entry hosts of different strength against the stand-ins of the store
// and the workers.
#include "EntryHost.h"
#include "standins/Cluster.h"
#include "standins/Record.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <unistd.h>

namespace jayramp::platform_test {
namespace {

/// Longer than the calm that a handover waits for.
constexpr std::int64_t WaitLimitMs = 20000;
constexpr std::int64_t PollIntervalMs = 50;

auto hasLine(const EntryHost &Host, const std::string &Text) -> bool {
  for (std::int64_t Ms = 0; Ms < WaitLimitMs; Ms += PollIntervalMs) {
    if (!Host.logLines(Text).empty())
      return true;
    review::sleepMs(PollIntervalMs);
  }
  return false;
}

// Guards against a shard that stays with the weak host that took it while the
// strong one was down.
TEST(HandoverTest, aStrongHostThatComesBackGetsTheShard) {
  const auto Folder =
      testing::TempDir() + "/handover-" + std::to_string(::getpid());
  std::filesystem::create_directories(Folder);
  // Never destroyed, because the threads of the stand-ins use them until the
  // process ends.
  auto &Output = *new review::Record(Folder + "/record.txt");
  auto &Platform = *new review::Cluster(Output);
  Platform.publishConfiguration();
  Platform.addWorkers("r0", 2, 1.0);
  EntryHost::Options Options{JAYRAMP_ENTRY_DAEMON, Folder,
                             "edge-weak",          "zone-a",
                             {"zone-a"},           Platform.store().address()};
  Options.CpuShare = "0.1";
  auto Weak = EntryHost::start(Options);
  ASSERT_TRUE(Weak) << Weak.error().message();
  ASSERT_TRUE(hasLine(Weak.value(), "event=shard-recovered"));
  Options.Name = "edge-strong";
  Options.CpuShare = "0.5";
  auto Strong = EntryHost::start(Options);
  ASSERT_TRUE(Strong) << Strong.error().message();
  EXPECT_TRUE(hasLine(Strong.value(), "event=shard-recovered"));
  EXPECT_TRUE(hasLine(Weak.value(), "event=shard-released"));
  EXPECT_TRUE(Weak.value().isAsExpected());
  EXPECT_TRUE(Strong.value().isAsExpected());
}

} // namespace
} // namespace jayramp::platform_test
