#include "FakeEntryHost.h"

#include "Membership/ShardMap.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

using test::FakeEntryHost;
using test::waitUntil;

constexpr Milliseconds StartTimeout{6000};

class MembershipRunnerTest : public testing::Test {
protected:
  void startThreeHosts() {
    for (const char *Name : {"a", "b", "c"})
      Hosts.push_back(std::make_unique<FakeEntryHost>(Name, Tables));
    auto Elapsed = waitUntil(
        [this] {
          return std::all_of(Hosts.begin(), Hosts.end(), [](const auto &Host) {
            return Host->memberCount() == 3 && Host->serves();
          });
        },
        StartTimeout);
    ASSERT_GE(Elapsed.count(), 0);
    std::cout << "three hosts serve after " << Elapsed.count() << " ms\n";
  }

  test::FakeTableService Tables;
  std::vector<std::unique_ptr<FakeEntryHost>> Hosts;
};

// Guards against a takeover that takes longer than 4 s, or one that happens
// before the silence limit has passed since the last heartbeat.
TEST_F(MembershipRunnerTest, takesOverFromACrashedHostWithinFourSeconds) {
  startThreeHosts();
  for (int Round = 0; Round < 3; ++Round) {
    // Vary the time between the last heartbeat and the crash.
    std::this_thread::sleep_for(Milliseconds(1100 + 300 * Round));
    Hosts.pop_back();
    auto Elapsed = waitUntil(
        [this] {
          return std::all_of(Hosts.begin(), Hosts.end(), [](const auto &Host) {
            return Host->memberCount() == 2 && Host->serves();
          });
        },
        Milliseconds(6000));
    std::cout << "takeover after " << Elapsed.count() << " ms\n";
    EXPECT_GE(Elapsed, Milliseconds(1500));
    EXPECT_LT(Elapsed, Milliseconds(4000));
    Hosts.push_back(std::make_unique<FakeEntryHost>("c", Tables));
    auto Joined = waitUntil(
        [this] {
          return std::all_of(Hosts.begin(), Hosts.end(), [](const auto &Host) {
            return Host->memberCount() == 3 && Host->serves();
          });
        },
        StartTimeout);
    EXPECT_GE(Joined.count(), 0);
    std::cout << "joined after " << Joined.count() << " ms\n";
  }
}

// Guards against hosts that stop serving although they reach each other while
// the store is slow and down, and against the removal of members when the store
// returns.
TEST_F(MembershipRunnerTest, allHostsKeepServingInAStoreOutage) {
  startThreeHosts();
  std::uint64_t Version = Hosts[0]->Runner->view()->version();
  Tables.DelayMs = 300;
  Tables.Down = true;
  TimePoint End = Clock::now() + Milliseconds(6000);
  int RefusedChecks = 0;
  while (Clock::now() < End) {
    for (const auto &Host : Hosts)
      RefusedChecks += Host->serves() ? 0 : 1;
    std::this_thread::sleep_for(Milliseconds(10));
  }
  Tables.DelayMs = 0;
  Tables.Down = false;
  End = Clock::now() + Milliseconds(3000);
  while (Clock::now() < End) {
    for (const auto &Host : Hosts)
      RefusedChecks += Host->serves() ? 0 : 1;
    std::this_thread::sleep_for(Milliseconds(10));
  }
  EXPECT_EQ(RefusedChecks, 0);
  EXPECT_EQ(Hosts[0]->Runner->view()->version(), Version);
}

// Guards against a host that stops serving, or is removed, because it alone
// cannot reach the store.
TEST_F(MembershipRunnerTest, hostWithoutStoreAccessKeepsServing) {
  startThreeHosts();
  std::uint64_t Version = Hosts[0]->Runner->view()->version();
  Hosts[1]->TableAccess.Disconnected = true;
  int RefusedChecks = 0;
  TimePoint End = Clock::now() + Milliseconds(5000);
  while (Clock::now() < End) {
    for (const auto &Host : Hosts)
      RefusedChecks += Host->serves() ? 0 : 1;
    std::this_thread::sleep_for(Milliseconds(10));
  }
  EXPECT_EQ(RefusedChecks, 0);
  EXPECT_EQ(Hosts[0]->Runner->view()->version(), Version);
}

// Guards against repeating a view change whose store answer was lost: the write
// took effect, so a repetition would change the view twice.
TEST_F(MembershipRunnerTest, lostStoreAnswerCausesNoSecondViewChange) {
  Tables.loseNextAnswer("membership");
  startThreeHosts();
  EXPECT_EQ(Tables.version("membership", "view"), 3U);
  Tables.loseNextAnswer("membership");
  Hosts.pop_back();
  EXPECT_GE(waitUntil([this] { return Hosts[0]->memberCount() == 2; },
                      Milliseconds(6000))
                .count(),
            0);
  std::this_thread::sleep_for(Milliseconds(1000));
  EXPECT_EQ(Tables.version("membership", "view"), 4U);
}

// Guards against a planned stop that leaves key shards without an owner, or
// after which the other hosts cannot serve.
TEST_F(MembershipRunnerTest, leavingHandsOverShardsAndOthersKeepServing) {
  startThreeHosts();
  ASSERT_TRUE(Hosts[2]->Runner->prepareToLeave(Milliseconds(2000)));
  EXPECT_TRUE(Hosts[2]->serves());
  ShardMap Map(*Hosts[2]->Runner->view());
  for (std::uint32_t Shard = 0; Shard < ShardMap::ShardCount; ++Shard)
    EXPECT_NE(Map.home(Shard), "c");
  TimePoint Start = Clock::now();
  ASSERT_TRUE(Hosts[2]->Runner->leave(Milliseconds(2000)));
  std::cout
      << "left after "
      << std::chrono::duration_cast<Milliseconds>(Clock::now() - Start).count()
      << " ms\n";
  EXPECT_FALSE(Hosts[2]->serves());
  auto Elapsed = waitUntil(
      [this] {
        return Hosts[0]->memberCount() == 2 && Hosts[0]->serves() &&
               Hosts[1]->memberCount() == 2 && Hosts[1]->serves();
      },
      Milliseconds(2000));
  std::cout << "others serve after " << Elapsed.count() << " ms\n";
  EXPECT_GE(Elapsed.count(), 0);
}

// Guards against more load on the table service than one write and three reads
// a second from each host.
TEST_F(MembershipRunnerTest, staysWithinTheAgreedStoreLoad) {
  startThreeHosts();
  std::this_thread::sleep_for(Milliseconds(1000));
  int Reads = Tables.Reads;
  int Writes = Tables.Writes;
  std::this_thread::sleep_for(Milliseconds(5000));
  std::cout << "in 5 s by 3 hosts: " << Tables.Reads - Reads << " reads, "
            << Tables.Writes - Writes << " writes\n";
  EXPECT_LE(Tables.Reads - Reads, 3 * 3 * 5);
  EXPECT_LE(Tables.Writes - Writes, 3 * 6);
}

} // namespace
} // namespace jayramp
