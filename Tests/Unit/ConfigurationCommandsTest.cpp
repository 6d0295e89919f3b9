#include "FakeEntryHost.h"

#include "jayramp/v1/jayramp.pb.h"

#include <gtest/gtest.h>

#include <optional>

namespace jayramp {
namespace {

using test::FakeEntryHost;
using test::waitUntil;

auto document(const std::string &Account) -> v1::ConfigurationDocument {
  v1::ConfigurationDocument Document;
  auto *Entry = Document.add_accounts();
  Entry->set_name(Account);
  Entry->set_request_share(10);
  auto *Shape = Entry->add_guarantees();
  Shape->set_accelerators(4);
  Shape->set_count(2);
  return Document;
}

auto placeOf(const v1::ConfigurationDocument &Document) -> std::string {
  auto Checked = ConfigurationCommands::validate(Document);
  return Checked ? "" : Checked.error().place();
}

class ConfigurationCommandsTest : public testing::Test {
protected:
  ConfigurationCommandsTest() {
    for (const char *Name : {"a", "b", "c"})
      Hosts.push_back(std::make_unique<FakeEntryHost>(Name, Tables));
  }

  auto waitForThree() -> bool {
    return waitUntil(
               [this] {
                 return std::all_of(
                     Hosts.begin(), Hosts.end(), [](const auto &Host) {
                       return Host->memberCount() == 3 && Host->serves();
                     });
               },
               Milliseconds(6000))
               .count() >= 0;
  }

  test::FakeTableService Tables;
  std::vector<std::unique_ptr<FakeEntryHost>> Hosts;
};

// Guards against an error that does not say which field is wrong.
TEST(ConfigurationRulesTest, namesTheOffendingField) {
  EXPECT_EQ(placeOf(document("x")), "");
  auto Twice = document("x");
  *Twice.add_accounts() = Twice.accounts(0);
  EXPECT_EQ(placeOf(Twice), "document.accounts[1].name");
  EXPECT_EQ(placeOf(document("")), "document.accounts[0].name");
  EXPECT_EQ(placeOf(document("a/b")), "document.accounts[0].name");
  auto Zero = document("x");
  Zero.mutable_accounts(0)->mutable_guarantees(0)->set_accelerators(0);
  EXPECT_EQ(placeOf(Zero), "document.accounts[0].guarantees[0].accelerators");
  auto Large = document("x");
  Large.mutable_accounts(0)->mutable_guarantees(0)->set_accelerators(65);
  EXPECT_EQ(placeOf(Large), "document.accounts[0].guarantees[0].accelerators");
  auto None = document("x");
  None.mutable_accounts(0)->mutable_guarantees(0)->set_count(0);
  EXPECT_EQ(placeOf(None), "document.accounts[0].guarantees[0].count");
  auto Share = document("x");
  Share.mutable_accounts(0)->set_request_share(1001);
  EXPECT_EQ(placeOf(Share), "document.accounts[0].request_share");
  auto Quota = document("x");
  Quota.mutable_accounts(0)->set_accelerator_quota(7);
  EXPECT_EQ(placeOf(Quota), "document.accounts[0].accelerator_quota");
  auto Percent = document("x");
  Percent.set_long_slot_percent(101);
  EXPECT_EQ(placeOf(Percent), "document.long_slot_percent");
}

// Guards against two operators who both believe that their change won, and
// against a loser who does not learn the version to start from.
TEST_F(ConfigurationCommandsTest, exactlyOneOfSeveralChangesWins) {
  ASSERT_TRUE(waitForThree());
  std::uint64_t Expected = 0;
  for (int Round = 0; Round < 5; ++Round) {
    std::vector<std::optional<Result<ConfigurationOutcome>>> Outcomes(3);
    std::vector<std::thread> Operators;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Operators.emplace_back([&, Index] {
        Outcomes[Index] = Hosts[Index]->Commands.change(
            Expected, document("of-" + std::to_string(Index)),
            Milliseconds(4000));
      });
    for (auto &Operator : Operators)
      Operator.join();
    int Winners = 0;
    for (std::size_t Index = 0; Index < 3; ++Index) {
      ASSERT_TRUE(*Outcomes[Index]) << Outcomes[Index]->error().message();
      const auto &Outcome = Outcomes[Index]->value();
      if (const auto *Won = std::get_if<ConfigurationAccepted>(&Outcome)) {
        ++Winners;
        EXPECT_EQ(Won->Version, Expected + 1);
        for (const auto &Host : Hosts) {
          EXPECT_EQ(Host->Store.version(), Expected + 1);
          EXPECT_EQ(Host->Store.current()->document().accounts(0).name(),
                    "of-" + std::to_string(Index));
        }
      } else {
        const auto *Lost = std::get_if<ConfigurationConflict>(&Outcome);
        ASSERT_NE(Lost, nullptr);
        EXPECT_EQ(Lost->WinningVersion, Expected + 1);
      }
    }
    EXPECT_EQ(Winners, 1);
    ++Expected;
  }
}

// Guards against a change that is reported as lost, or written twice, because
// the answer of the store did not arrive.
TEST_F(ConfigurationCommandsTest, recognisesItsOwnWriteAfterALostAnswer) {
  ASSERT_TRUE(waitForThree());
  Tables.loseNextAnswer("configuration");
  auto Outcome =
      Hosts[0]->Commands.change(0, document("x"), Milliseconds(4000));
  ASSERT_TRUE(Outcome);
  EXPECT_EQ(Outcome.value(), ConfigurationOutcome(ConfigurationAccepted{1}));
  EXPECT_EQ(Tables.version("configuration", "head"), 1U);
}

// Guards against "accepted" before a silent host has the version or has left
// the view, and against a wait without end.
TEST_F(ConfigurationCommandsTest, waitsForEveryMemberOrItsRemoval) {
  ASSERT_TRUE(waitForThree());
  Hosts.pop_back();
  auto Early = Hosts[0]->Commands.change(0, document("x"), Milliseconds(600));
  ASSERT_TRUE(Early);
  const auto *Pending = std::get_if<ConfigurationPending>(&Early.value());
  ASSERT_NE(Pending, nullptr);
  EXPECT_EQ(Pending->WaitingFor, std::vector<std::string>{"c"});
  TimePoint Start = Clock::now();
  auto Late = Hosts[0]->Commands.change(1, document("y"), Milliseconds(5000));
  ASSERT_TRUE(Late);
  EXPECT_EQ(Late.value(), ConfigurationOutcome(ConfigurationAccepted{2}));
  std::cout
      << "accepted after "
      << std::chrono::duration_cast<Milliseconds>(Clock::now() - Start).count()
      << " ms\n";
  EXPECT_LT(Clock::now() - Start, Milliseconds(4000));
}

// Guards against a host that stays on an old version because the store is out
// of its reach, and against one account's change that undoes another's.
TEST_F(ConfigurationCommandsTest, reachesAHostThatIsCutFromTheStore) {
  ASSERT_TRUE(waitForThree());
  Hosts[2]->TableAccess.Disconnected = true;
  std::vector<std::thread> Operators;
  std::atomic<int> Accepted{0};
  for (std::size_t Index = 0; Index < 2; ++Index)
    Operators.emplace_back([&, Index] {
      auto Document = document("of-" + std::to_string(Index));
      auto Outcome = Hosts[Index]->Commands.changeAccount(Document.accounts(0),
                                                          Milliseconds(4000));
      if (Outcome &&
          std::holds_alternative<ConfigurationAccepted>(Outcome.value()))
        ++Accepted;
    });
  for (auto &Operator : Operators)
    Operator.join();
  EXPECT_EQ(Accepted, 2);
  EXPECT_EQ(Hosts[2]->Store.version(), 2U);
  EXPECT_EQ(Hosts[2]->Store.current()->document().accounts_size(), 2);
  auto Refused = Hosts[2]->Commands.change(2, document("z"), Milliseconds(500));
  ASSERT_FALSE(Refused);
  EXPECT_EQ(Refused.error().kind(), ErrorKind::Unavailable);
}

} // namespace
} // namespace jayramp
