#include "ShardFixture.h"

#include "Relay/PeerDirectory.h"

namespace jayramp::test {
namespace {

using Mode = FakeRowStore::Mode;

class PeerDirectoryTest : public ShardFixture {
protected:
  auto startDirectory(const std::string &Host, double CpuShare = 0.25)
      -> std::unique_ptr<relay::PeerDirectory> {
    auto Directory = std::make_unique<relay::PeerDirectory>(
        Loop, Store, Policy, Host, Host + ":7000", CpuShare);
    Directory->start();
    return Directory;
  }

  const store::RowKey RowKeyOfHostOne{"hosts", "", "one"};
  relay::RelayPolicy Policy{"one:7000"};
};

TEST_F(PeerDirectoryTest, hostsLearnEachOthersAddresses) {
  const auto One = startDirectory("one");
  const auto Two = startDirectory("two");
  EXPECT_TRUE(runUntil([&] { return One->addressOf("two") == "two:7000"; }));
  EXPECT_EQ(Policy.selectPeer(Clock::now()), "two:7000");
  EXPECT_EQ(One->addressOf("three"), "");
}

// Guards against a weak host that is among the first to take a shard over, and
// against equal hosts that are all first for the same shard.
TEST_F(PeerDirectoryTest, ranksStrongerHostsFirst) {
  const auto One = startDirectory("one");
  const auto Two = startDirectory("two");
  const auto Strong = startDirectory("strong", 0.5);
  ASSERT_TRUE(runUntil([&] {
    return !One->addressOf("strong").empty() &&
           !Two->addressOf("strong").empty() &&
           !Strong->addressOf("one").empty() && !One->addressOf("two").empty();
  }));
  EXPECT_EQ(Strong->rankForShard("pool"), 0U);
  EXPECT_EQ(One->rankForShard("pool") + Two->rankForShard("pool"), 3U);
}

// Guards against a host that stays unknown to its peers because the store was
// unavailable when the host started.
TEST_F(PeerDirectoryTest, retriesRegistrationUntilStoreIsAvailable) {
  Store.setMode(Mode::Refusing);
  const auto One = startDirectory("one");
  runFor(Milliseconds(50));
  Store.setMode(Mode::Serving);
  EXPECT_TRUE(runUntil([&] { return Store.row(RowKeyOfHostOne) != nullptr; }));
}

// Guards against a table that keeps a row for every host that ever existed.
TEST_F(PeerDirectoryTest, unregisterRemovesRowPermanently) {
  const auto One = startDirectory("one");
  ASSERT_TRUE(runUntil([&] { return Store.row(RowKeyOfHostOne) != nullptr; }));
  One->unregister();
  EXPECT_TRUE(runUntil([&] { return Store.row(RowKeyOfHostOne) == nullptr; }));
  runFor(Milliseconds(600));
  EXPECT_EQ(Store.row(RowKeyOfHostOne), nullptr);
}

// Guards against a running host that is missing from the table because the
// removal by an earlier process on that host took effect late.
TEST_F(PeerDirectoryTest, restoresRowRemovedByEarlierProcess) {
  const auto One = startDirectory("one");
  ASSERT_TRUE(runUntil([&] { return One->addressOf("one") == "one:7000"; }));
  store::RowTransaction Removal;
  Removal.Removals.push_back(RowKeyOfHostOne);
  Store.transact(Removal, Milliseconds(50),
                 [](const store::TransactionOutcome &) {});
  ASSERT_TRUE(runUntil([&] { return Store.row(RowKeyOfHostOne) == nullptr; }));
  EXPECT_TRUE(runUntil([&] { return Store.row(RowKeyOfHostOne) != nullptr; }));
}

} // namespace
} // namespace jayramp::test
