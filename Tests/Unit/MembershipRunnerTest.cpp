#include "FakeEntryHost.h"

#include "Membership/ShardMap.h"

#include <gtest/gtest.h>

namespace jayramp {
namespace {

using test::FakeEntryHost;
using test::waitUntil;

constexpr Milliseconds StartLimit{6000};

class MembershipRunnerTest : public testing::Test {
protected:
  void startThree() {
    for (const char *Name : {"a", "b", "c"})
      Hosts.push_back(std::make_unique<FakeEntryHost>(Name, Tables));
    auto Taken = waitUntil(
        [this] {
          return std::all_of(Hosts.begin(), Hosts.end(), [](const auto &Host) {
            return Host->memberCount() == 3 && Host->serves();
          });
        },
        StartLimit);
    ASSERT_GE(Taken.count(), 0);
    std::cout << "three hosts serve after " << Taken.count() << " ms\n";
  }

  test::FakeTableService Tables;
  std::vector<std::unique_ptr<FakeEntryHost>> Hosts;
};

// Guards against a takeover that takes longer than 4 s, or one that happens
// before the silence limit.
TEST_F(MembershipRunnerTest, takesOverFromACrashedHostWithinFourSeconds) {
  startThree();
  for (int Round = 0; Round < 3; ++Round) {
    // The phase between the crash and the last heartbeat differs each round.
    std::this_thread::sleep_for(Milliseconds(1100 + 300 * Round));
    Hosts.pop_back();
    auto Taken = waitUntil(
        [this] {
          return std::all_of(Hosts.begin(), Hosts.end(), [](const auto &Host) {
            return Host->memberCount() == 2 && Host->serves();
          });
        },
        Milliseconds(6000));
    std::cout << "takeover after " << Taken.count() << " ms\n";
    EXPECT_GE(Taken, Milliseconds(1500));
    EXPECT_LT(Taken, Milliseconds(4000));
    Hosts.push_back(std::make_unique<FakeEntryHost>("c", Tables));
    auto Joined = waitUntil(
        [this] {
          return std::all_of(Hosts.begin(), Hosts.end(), [](const auto &Host) {
            return Host->memberCount() == 3 && Host->serves();
          });
        },
        StartLimit);
    EXPECT_GE(Joined.count(), 0);
    std::cout << "joined after " << Joined.count() << " ms\n";
  }
}

// Guards against an outage or a hanging store that stops hosts which reach
// each other, and against one that removes members when the store returns.
TEST_F(MembershipRunnerTest, storeOutageStopsNobody) {
  startThree();
  std::uint64_t Version = Hosts[0]->Runner->view()->version();
  Tables.DelayMs = 300;
  Tables.Down = true;
  TimePoint End = Clock::now() + Milliseconds(6000);
  int Refused = 0;
  while (Clock::now() < End) {
    for (const auto &Host : Hosts)
      Refused += Host->serves() ? 0 : 1;
    std::this_thread::sleep_for(Milliseconds(10));
  }
  Tables.DelayMs = 0;
  Tables.Down = false;
  End = Clock::now() + Milliseconds(3000);
  while (Clock::now() < End) {
    for (const auto &Host : Hosts)
      Refused += Host->serves() ? 0 : 1;
    std::this_thread::sleep_for(Milliseconds(10));
  }
  EXPECT_EQ(Refused, 0);
  EXPECT_EQ(Hosts[0]->Runner->view()->version(), Version);
}

// Guards against a host that stops because it alone cannot reach the store.
TEST_F(MembershipRunnerTest, hostCutFromTheStoreGoesOn) {
  startThree();
  std::uint64_t Version = Hosts[0]->Runner->view()->version();
  Hosts[1]->TableAccess.Disconnected = true;
  int Refused = 0;
  TimePoint End = Clock::now() + Milliseconds(5000);
  while (Clock::now() < End) {
    for (const auto &Host : Hosts)
      Refused += Host->serves() ? 0 : 1;
    std::this_thread::sleep_for(Milliseconds(10));
  }
  EXPECT_EQ(Refused, 0);
  EXPECT_EQ(Hosts[0]->Runner->view()->version(), Version);
}

// Guards against a write whose answer was lost that is made a second time.
TEST_F(MembershipRunnerTest, lostAnswerCausesNoSecondViewChange) {
  Tables.loseNextAnswer("membership");
  startThree();
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

// Guards against a planned stop that leaves its shards without an owner, or
// that returns before the others can go on.
TEST_F(MembershipRunnerTest, leavesByAViewChange) {
  startThree();
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
  auto Taken = waitUntil(
      [this] {
        return Hosts[0]->memberCount() == 2 && Hosts[0]->serves() &&
               Hosts[1]->memberCount() == 2 && Hosts[1]->serves();
      },
      Milliseconds(2000));
  std::cout << "others serve after " << Taken.count() << " ms\n";
  EXPECT_GE(Taken.count(), 0);
}

// Guards against more load on the table service than agreed: one write and
// three reads a second for each host.
TEST_F(MembershipRunnerTest, loadsTheStoreLittle) {
  startThree();
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
