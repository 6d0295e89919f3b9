#include "ShardFixture.h"

#include "Relay/PeerDirectory.h"

namespace jayramp::test {
namespace {

using Mode = FakeRowStore::Mode;

class PeerDirectoryTest : public ShardFixture {
protected:
  auto directory(const std::string &Host)
      -> std::unique_ptr<relay::PeerDirectory> {
    auto Made = std::make_unique<relay::PeerDirectory>(Loop, Store, Policy,
                                                       Host, Host + ":7000");
    Made->start();
    return Made;
  }

  const store::RowKey OwnRow{"hosts", "", "one"};
  relay::RelayPolicy Policy{"one:7000"};
};

TEST_F(PeerDirectoryTest, hostsFindEachOther) {
  const auto One = directory("one");
  const auto Two = directory("two");
  EXPECT_TRUE(runUntil([&] { return One->addressOf("two") == "two:7000"; }));
  EXPECT_EQ(Policy.selectPeer(Clock::now()), "two:7000");
  EXPECT_EQ(One->addressOf("three"), "");
}

// Guards against a host that nobody knows because the store was down when it
// started.
TEST_F(PeerDirectoryTest, writesItsRowOnceTheStoreIsBack) {
  Store.setMode(Mode::Refusing);
  const auto One = directory("one");
  runFor(Milliseconds(50));
  Store.setMode(Mode::Serving);
  EXPECT_TRUE(runUntil([&] { return Store.row(OwnRow) != nullptr; }));
}

// Guards against a table that grows with each host that was ever there.
TEST_F(PeerDirectoryTest, aHostThatStopsLeavesNoRow) {
  const auto One = directory("one");
  ASSERT_TRUE(runUntil([&] { return Store.row(OwnRow) != nullptr; }));
  One->unregister();
  EXPECT_TRUE(runUntil([&] { return Store.row(OwnRow) == nullptr; }));
  runFor(Milliseconds(600));
  EXPECT_EQ(Store.row(OwnRow), nullptr);
}

// Guards against a live host that is missing because the removal by its earlier
// process came late.
TEST_F(PeerDirectoryTest, aHostRestoresItsRow) {
  const auto One = directory("one");
  ASSERT_TRUE(runUntil([&] { return One->addressOf("one") == "one:7000"; }));
  store::RowTransaction Removal;
  Removal.Removals.push_back(OwnRow);
  Store.transact(Removal, Milliseconds(50),
                 [](const store::TransactionOutcome &) {});
  ASSERT_TRUE(runUntil([&] { return Store.row(OwnRow) == nullptr; }));
  EXPECT_TRUE(runUntil([&] { return Store.row(OwnRow) != nullptr; }));
}

} // namespace
} // namespace jayramp::test
