#include "FakeEntryHost.h"

#include "jayramp/v1/jayramp.pb.h"

#include <gtest/gtest.h>

#include <optional>

namespace jayramp {
namespace {

using test::FakeEntryHost;
using test::waitUntil;

/// Returns a valid document with one account.
auto documentWithAccount(const std::string &Account)
    -> v1::ConfigurationDocument {
  v1::ConfigurationDocument Document;
  auto *Entry = Document.add_accounts();
  Entry->set_name(Account);
  Entry->set_request_share(10);
  auto *Shape = Entry->add_guarantees();
  Shape->set_accelerators(4);
  Shape->set_count(2);
  return Document;
}

/// Returns the place of the validation error, or "" if \p Document is valid.
auto offendingField(const v1::ConfigurationDocument &Document) -> std::string {
  auto Checked = ConfigurationCommands::validate(Document);
  return Checked ? "" : Checked.error().place();
}

class ConfigurationCommandsTest : public testing::Test {
protected:
  ConfigurationCommandsTest() {
    for (const char *Name : {"a", "b", "c"})
      Hosts.push_back(std::make_unique<FakeEntryHost>(Name, Tables));
  }

  /// Waits until each of the three hosts serves and has all three in its view.
  auto waitUntilAllHostsServe() -> bool {
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

// Guards against a validation error that does not name the offending field.
TEST(ConfigurationRulesTest, namesTheOffendingField) {
  EXPECT_EQ(offendingField(documentWithAccount("x")), "");
  auto DuplicateName = documentWithAccount("x");
  *DuplicateName.add_accounts() = DuplicateName.accounts(0);
  EXPECT_EQ(offendingField(DuplicateName), "document.accounts[1].name");
  EXPECT_EQ(offendingField(documentWithAccount("")),
            "document.accounts[0].name");
  EXPECT_EQ(offendingField(documentWithAccount("a/b")),
            "document.accounts[0].name");
  auto ZeroAccelerators = documentWithAccount("x");
  ZeroAccelerators.mutable_accounts(0)->mutable_guarantees(0)->set_accelerators(
      0);
  EXPECT_EQ(offendingField(ZeroAccelerators),
            "document.accounts[0].guarantees[0].accelerators");
  auto TooManyAccelerators = documentWithAccount("x");
  TooManyAccelerators.mutable_accounts(0)
      ->mutable_guarantees(0)
      ->set_accelerators(65);
  EXPECT_EQ(offendingField(TooManyAccelerators),
            "document.accounts[0].guarantees[0].accelerators");
  auto ZeroCount = documentWithAccount("x");
  ZeroCount.mutable_accounts(0)->mutable_guarantees(0)->set_count(0);
  EXPECT_EQ(offendingField(ZeroCount),
            "document.accounts[0].guarantees[0].count");
  auto TooLargeShare = documentWithAccount("x");
  TooLargeShare.mutable_accounts(0)->set_request_share(1001);
  EXPECT_EQ(offendingField(TooLargeShare),
            "document.accounts[0].request_share");
  auto QuotaBelowGuarantee = documentWithAccount("x");
  QuotaBelowGuarantee.mutable_accounts(0)->set_accelerator_quota(7);
  EXPECT_EQ(offendingField(QuotaBelowGuarantee),
            "document.accounts[0].accelerator_quota");
  auto TooLargePercent = documentWithAccount("x");
  TooLargePercent.set_long_slot_percent(101);
  EXPECT_EQ(offendingField(TooLargePercent), "document.long_slot_percent");
}

// Guards against two concurrent changes that are both reported as accepted, and
// against a conflict that does not report the version to retry from.
TEST_F(ConfigurationCommandsTest,
       exactlyOneOfSeveralConcurrentChangesIsAccepted) {
  ASSERT_TRUE(waitUntilAllHostsServe());
  std::uint64_t Expected = 0;
  for (int Round = 0; Round < 5; ++Round) {
    std::vector<std::optional<Result<ConfigurationOutcome>>> Outcomes(3);
    std::vector<std::thread> Operators;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Operators.emplace_back([&, Index] {
        Outcomes[Index] = Hosts[Index]->Commands.change(
            Expected, documentWithAccount("account-" + std::to_string(Index)),
            Milliseconds(4000));
      });
    for (auto &Operator : Operators)
      Operator.join();
    int AcceptedChanges = 0;
    for (std::size_t Index = 0; Index < 3; ++Index) {
      ASSERT_TRUE(*Outcomes[Index]) << Outcomes[Index]->error().message();
      const auto &Outcome = Outcomes[Index]->value();
      if (const auto *Accepted = std::get_if<ConfigurationAccepted>(&Outcome)) {
        ++AcceptedChanges;
        EXPECT_EQ(Accepted->Version, Expected + 1);
        for (const auto &Host : Hosts) {
          EXPECT_EQ(Host->Store.version(), Expected + 1);
          EXPECT_EQ(Host->Store.current()->document().accounts(0).name(),
                    "account-" + std::to_string(Index));
        }
      } else {
        const auto *Conflict = std::get_if<ConfigurationConflict>(&Outcome);
        ASSERT_NE(Conflict, nullptr);
        EXPECT_EQ(Conflict->WinningVersion, Expected + 1);
      }
    }
    EXPECT_EQ(AcceptedChanges, 1);
    ++Expected;
  }
}

// Guards against a change that is reported as a conflict, or written twice,
// because the table service's reply to the commit was lost.
TEST_F(ConfigurationCommandsTest, recognisesItsOwnWriteAfterALostReply) {
  ASSERT_TRUE(waitUntilAllHostsServe());
  Tables.loseNextAnswer("configuration");
  auto Outcome = Hosts[0]->Commands.change(0, documentWithAccount("x"),
                                           Milliseconds(4000));
  ASSERT_TRUE(Outcome);
  EXPECT_EQ(Outcome.value(), ConfigurationOutcome(ConfigurationAccepted{1}));
  EXPECT_EQ(Tables.version("configuration", "head"), 1U);
}

// Guards against a change that is reported as accepted before an unresponsive
// host has adopted it or has left the view, and against waiting forever.
TEST_F(ConfigurationCommandsTest, waitsUntilEveryMemberConfirmsOrIsRemoved) {
  ASSERT_TRUE(waitUntilAllHostsServe());
  Hosts.pop_back();
  auto BeforeRemoval =
      Hosts[0]->Commands.change(0, documentWithAccount("x"), Milliseconds(600));
  ASSERT_TRUE(BeforeRemoval);
  const auto *Pending =
      std::get_if<ConfigurationPending>(&BeforeRemoval.value());
  ASSERT_NE(Pending, nullptr);
  EXPECT_EQ(Pending->UnconfirmedHosts, std::vector<std::string>{"c"});
  TimePoint Start = Clock::now();
  auto AfterRemoval = Hosts[0]->Commands.change(1, documentWithAccount("y"),
                                                Milliseconds(5000));
  ASSERT_TRUE(AfterRemoval);
  EXPECT_EQ(AfterRemoval.value(),
            ConfigurationOutcome(ConfigurationAccepted{2}));
  std::cout
      << "accepted after "
      << std::chrono::duration_cast<Milliseconds>(Clock::now() - Start).count()
      << " ms\n";
  EXPECT_LT(Clock::now() - Start, Milliseconds(4000));
}

// Guards against a host that keeps an old version because it cannot reach the
// table service, and against concurrent changes of two accounts of which one
// reverts the other.
TEST_F(ConfigurationCommandsTest, reachesAHostThatCannotReachTheTableService) {
  ASSERT_TRUE(waitUntilAllHostsServe());
  Hosts[2]->TableAccess.Disconnected = true;
  std::vector<std::thread> Operators;
  std::atomic<int> Accepted{0};
  for (std::size_t Index = 0; Index < 2; ++Index)
    Operators.emplace_back([&, Index] {
      auto Document = documentWithAccount("account-" + std::to_string(Index));
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
  auto Unavailable =
      Hosts[2]->Commands.change(2, documentWithAccount("z"), Milliseconds(500));
  ASSERT_FALSE(Unavailable);
  EXPECT_EQ(Unavailable.error().kind(), ErrorKind::Unavailable);
}

} // namespace
} // namespace jayramp
