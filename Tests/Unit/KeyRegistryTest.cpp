#include "KeyRegistryModel.h"

#include "Membership/ShardMap.h"
#include "Membership/View.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>
#include <random>

namespace jayramp {
namespace {

constexpr std::size_t StepCount = 1000;
const TimePoint Start = TimePoint() + std::chrono::hours(1);

auto makeRegistry(KeyRegistryLimits Limits = {}) -> KeyRegistry {
  return KeyRegistry::make(Limits).value();
}

auto rolesOf(std::uint64_t Version, ShardRole Role, std::string Own,
             std::set<std::string> Members) -> ShardRoles {
  ShardRoles Roles;
  Roles.ViewVersion = Version;
  Roles.OwnIncarnation = std::move(Own);
  Roles.Members = std::move(Members);
  Roles.Roles.fill(Role);
  Roles.IsFirstView = Version == 1;
  return Roles;
}

auto claimOf(std::uint64_t Version, const std::string &Key,
             const std::string &Id, const std::string &Holder = "x")
    -> KeyClaim {
  return {Version, KeyRegistry::shardOf("acme", Key), "acme", Key, Id, Holder,
          Holder};
}

auto reportOf(std::uint64_t Version, const std::string &Key,
              const std::string &Id, bool Released) -> OutcomeReport {
  return {Version,  KeyRegistry::shardOf("acme", Key), "acme", Key, Id,
          Released, Released ? "" : "answer"};
}

/// Home "h" and backup "s" in view 1.
class KeyRegistryTest : public ::testing::Test {
protected:
  KeyRegistryTest() {
    Home.adoptView(rolesOf(1, ShardRole::Home, "h", Members), Start);
    Backup.adoptView(rolesOf(1, ShardRole::Backup, "s", Members), Start);
    Home.endClaimsOfLostHolders(Members, Start);
    Backup.endClaimsOfLostHolders(Members, Start);
  }

  auto grant(const std::string &Key, const std::string &Id,
             std::uint64_t Version = 1) -> ReplicationDecision {
    auto Decision = Home.claim(claimOf(Version, Key, Id), Start);
    auto Record = std::get<ReplicationNeeded>(Decision).Record;
    EXPECT_EQ(Backup.storeReplica(Version, Record, Start),
              ReplicaStoreResult::Stored);
    return Home.confirmReplication(Version, Record, Start);
  }

  std::set<std::string> Members{"h", "s", "x", "y"};
  KeyRegistry Home = makeRegistry();
  KeyRegistry Backup = makeRegistry();
};

// Guards against two requests with one key that both run, and against grants
// that die with the home, for any order of claims, repeats, lost and doubled
// messages, view changes, transfers, restarts and paused old homes.
RC_GTEST_PROP(KeyRegistryProperty, grantsEachKeyOnceAndWithCopy, ()) {
  auto Choices = *rc::gen::container<std::vector<std::uint32_t>>(
      StepCount, rc::gen::arbitrary<std::uint32_t>());
  KeyRegistryModel Model(Naive::None);
  for (std::uint32_t Choice : Choices) {
    Model.step(Choice);
    if (!Model.violation().empty())
      RC_FAIL(Model.violation());
  }
}

/// Runs the model with seeds 1 to \p Seeds and returns the first that shows a
/// violation, 0 if none does.
auto findViolation(Naive Fault, unsigned Seeds, std::size_t &Grants,
                   std::size_t &Views) -> unsigned {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    std::mt19937 Random(Seed);
    KeyRegistryModel Model(Fault);
    for (std::size_t Step = 0; Step < StepCount; ++Step)
      Model.step(Random());
    Grants += Model.grantCount();
    Views += Model.viewCount();
    if (!Model.violation().empty()) {
      std::cout << "seed " << Seed << ": " << Model.violation() << "\n";
      return Seed;
    }
  }
  return 0;
}

// Guards against a model that finds nothing: each naive variant must fail, and
// the real one must grant often.
TEST(KeyRegistryModelTest, noticesNaiveVariants) {
  std::size_t Grants = 0;
  std::size_t Views = 0;
  EXPECT_NE(
      findViolation(Naive::GrantBeforeAcknowledgement, 100, Grants, Views), 0U);
  EXPECT_NE(findViolation(Naive::IgnoreViewVersion, 2000, Grants, Views), 0U);
  EXPECT_NE(findViolation(Naive::KeepCompleteOverSkipped, 5000, Grants, Views),
            0U);
  Grants = 0;
  Views = 0;
  EXPECT_EQ(findViolation(Naive::None, 3000, Grants, Views), 0U);
  std::cout << "3000 runs without a fault: " << Grants << " grants, " << Views
            << " views\n";
  EXPECT_GT(Grants, 3000U);
}

// Guards against a grant without the backup's acknowledgement, and against a
// claim that is lost with the reply.
TEST_F(KeyRegistryTest, grantsAfterAcknowledgementAndAgainToSameClaim) {
  auto First = Home.claim(claimOf(1, "k", "c1"), Start);
  ASSERT_TRUE(std::holds_alternative<ReplicationNeeded>(First));
  auto Record = std::get<ReplicationNeeded>(First).Record;
  EXPECT_TRUE(Home.failReplication(1, Record));
  EXPECT_TRUE(std::holds_alternative<ClaimInProgress>(
      Home.claim(claimOf(1, "k", "c2", "y"), Start)));
  EXPECT_TRUE(std::holds_alternative<ReplicationNeeded>(
      Home.claim(claimOf(1, "k", "c1"), Start)));
  EXPECT_EQ(Backup.storeReplica(1, Record, Start), ReplicaStoreResult::Stored);
  EXPECT_TRUE(std::holds_alternative<ReplicationGrantsClaim>(
      Home.confirmReplication(1, Record, Start)));
  EXPECT_TRUE(std::holds_alternative<ClaimGranted>(
      Home.claim(claimOf(1, "k", "c1"), Start)));
}

// Guards against messages of another view that take effect.
TEST_F(KeyRegistryTest, refusesOtherViews) {
  auto Decision = Home.claim(claimOf(2, "k", "c1"), Start);
  ASSERT_TRUE(std::holds_alternative<ClaimWrongView>(Decision));
  EXPECT_EQ(std::get<ClaimWrongView>(Decision).OwnVersion, 1U);
  auto Record =
      std::get<ReplicationNeeded>(Home.claim(claimOf(1, "k", "c1"), Start))
          .Record;
  EXPECT_EQ(Backup.storeReplica(2, Record, Start),
            ReplicaStoreResult::WrongView);
  EXPECT_TRUE(std::holds_alternative<ReplicationAcknowledgementStale>(
      Home.confirmReplication(2, Record, Start)));
  EXPECT_TRUE(std::holds_alternative<ReportWrongView>(
      Home.reportOutcome(reportOf(2, "k", "c1", false), Start)));
  EXPECT_TRUE(std::holds_alternative<ClaimNotHome>(
      Backup.claim(claimOf(1, "k", "c1"), Start)));
}

// Guards against a paused old home that acts late on its own.
TEST_F(KeyRegistryTest, pausedOldHomeGetsNoGrant) {
  auto Record =
      std::get<ReplicationNeeded>(Home.claim(claimOf(1, "k", "c1"), Start))
          .Record;
  Backup.adoptView(rolesOf(2, ShardRole::Home, "s", {"s", "y"}), Start);
  EXPECT_EQ(Backup.storeReplica(1, Record, Start),
            ReplicaStoreResult::WrongView);
  EXPECT_TRUE(std::holds_alternative<ReplicationNeeded>(
      Backup.claim(claimOf(2, "k", "c2", "y"), Start)));
}

// Guards against a second run after a report, and tells reports apart.
TEST_F(KeyRegistryTest, tellsReportsApart) {
  grant("k", "c1");
  EXPECT_TRUE(std::holds_alternative<ReportClaimMismatch>(
      Home.reportOutcome(reportOf(1, "k", "c2", false), Start)));
  auto First = Home.reportOutcome(reportOf(1, "k", "c1", false), Start);
  ASSERT_TRUE(std::holds_alternative<ReportRecorded>(First));
  // Not replicated yet: the repeat must not be acknowledged.
  EXPECT_TRUE(std::holds_alternative<ReportRecorded>(
      Home.reportOutcome(reportOf(1, "k", "c1", false), Start)));
  auto Record = std::get<ReportRecorded>(First).Record;
  EXPECT_EQ(Backup.storeReplica(1, Record, Start), ReplicaStoreResult::Stored);
  EXPECT_TRUE(std::holds_alternative<ReplicationConfirmsOutcome>(
      Home.confirmReplication(1, Record, Start)));
  EXPECT_TRUE(std::holds_alternative<ReportDuplicate>(
      Home.reportOutcome(reportOf(1, "k", "c1", false), Start)));
  EXPECT_TRUE(std::holds_alternative<ReportTooLate>(
      Home.reportOutcome(reportOf(1, "k", "c1", true), Start)));
  auto Repeat = Home.claim(claimOf(1, "k", "c2", "y"), Start);
  ASSERT_TRUE(std::holds_alternative<ClaimDone>(Repeat));
  EXPECT_EQ(std::get<ClaimDone>(Repeat).Record.Outcome, "answer");
}

// Guards against a released key that stays blocked, and against a late repeat
// of the released claim that takes it.
TEST_F(KeyRegistryTest, releasedKeyCanBeClaimedByAnotherClaim) {
  grant("k", "c1");
  Home.reportOutcome(reportOf(1, "k", "c1", true), Start);
  EXPECT_TRUE(std::holds_alternative<ClaimReleased>(
      Home.claim(claimOf(1, "k", "c1"), Start)));
  EXPECT_FALSE(Home.query(1, "acme", "k", Start).has_value());
  EXPECT_TRUE(std::holds_alternative<ReplicationNeeded>(
      Home.claim(claimOf(1, "k", "c2", "y"), Start)));
}

// Guards against replication messages that arrive in the wrong order.
TEST_F(KeyRegistryTest, olderReplicaDoesNotUndoNewer) {
  auto Claimed =
      std::get<ReplicationNeeded>(Home.claim(claimOf(1, "k", "c1"), Start))
          .Record;
  auto Done = std::get<ReportRecorded>(
                  Home.reportOutcome(reportOf(1, "k", "c1", false), Start))
                  .Record;
  EXPECT_EQ(Backup.storeReplica(1, Done, Start), ReplicaStoreResult::Stored);
  EXPECT_EQ(Backup.storeReplica(1, Claimed, Start),
            ReplicaStoreResult::HasNewerWrite);
  EXPECT_EQ(Backup.findRecord("acme", "k", Start)->State, KeyState::Done);
}

// Guards against keys that stay in progress for ever, or run again, after
// their holder died.
TEST_F(KeyRegistryTest, lostHolderMakesGrantsUnknown) {
  grant("granted", "c1");
  Home.claim(claimOf(1, "tentative", "c2"), Start);
  auto Changed = Home.endClaimsOfLostHolders({"h", "s", "y"}, Start);
  EXPECT_EQ(Changed.size(), 2U);
  auto Decision = Home.claim(claimOf(1, "granted", "c3", "y"), Start);
  ASSERT_TRUE(std::holds_alternative<ClaimDone>(Decision));
  EXPECT_TRUE(std::get<ClaimDone>(Decision).Record.IsOutcomeUnknown);
  EXPECT_TRUE(std::holds_alternative<ReportTooLate>(
      Home.reportOutcome(reportOf(1, "granted", "c1", false), Start)));
  EXPECT_TRUE(std::holds_alternative<ReplicationNeeded>(
      Home.claim(claimOf(1, "tentative", "c3", "y"), Start)));
}

// Guards against grants by a home that does not know the older grants.
TEST_F(KeyRegistryTest, newHomeWaitsForCompleteTransfer) {
  grant("k", "c1");
  KeyRegistry Third = makeRegistry();
  std::set<std::string> Now{"h", "s", "t", "x", "y"};
  Third.adoptView(rolesOf(2, ShardRole::Home, "t", Now), Start);
  Home.adoptView(rolesOf(2, ShardRole::Backup, "h", Now), Start);
  EXPECT_TRUE(std::holds_alternative<ClaimRebalancing>(
      Third.claim(claimOf(2, "k", "c2", "y"), Start)));
  auto Shard = KeyRegistry::shardOf("acme", "k");
  auto Transfer = Home.exportShard(Shard, Start);
  ASSERT_TRUE(Transfer.Complete);
  auto Partial = Transfer;
  Partial.Complete = false;
  EXPECT_TRUE(Third.importShard(Partial, Start));
  EXPECT_TRUE(std::holds_alternative<ClaimRebalancing>(
      Third.claim(claimOf(2, "k", "c2", "y"), Start)));
  EXPECT_TRUE(Third.importShard(Transfer, Start));
  EXPECT_TRUE(std::holds_alternative<ClaimInProgress>(
      Third.claim(claimOf(2, "k", "c2", "y"), Start)));
  EXPECT_EQ(Third.evictExpired(Start), std::vector<std::uint32_t>{Shard});
  // The grant of view 1 needs this view's backup again.
  EXPECT_TRUE(std::holds_alternative<ReplicationNeeded>(
      Third.claim(claimOf(2, "k", "c1"), Start)));
}

// Guards against exports of a copy that missed the grants of a view.
TEST_F(KeyRegistryTest, skippedViewEndsCompleteness) {
  auto Shard = KeyRegistry::shardOf("acme", "k");
  EXPECT_TRUE(Home.exportShard(Shard, Start).Complete);
  Home.adoptView(rolesOf(3, ShardRole::Backup, "h", Members), Start);
  EXPECT_TRUE(Home.exportShard(Shard, Start).Incomplete);
  Backup.adoptView(rolesOf(2, ShardRole::None, "s", Members), Start);
  EXPECT_TRUE(Backup.exportShard(Shard, Start).Complete);
  Backup.adoptView(rolesOf(3, ShardRole::Home, "s", Members), Start);
  EXPECT_TRUE(Backup.exportShard(Shard, Start).Incomplete);
  EXPECT_FALSE(
      Backup.adoptView(rolesOf(2, ShardRole::Home, "s", Members), Start));
}

// Guards against a second run after home and backup died together.
TEST_F(KeyRegistryTest, lostHistoryIsUnknownUntilRetentionPassed) {
  KeyRegistry Third = makeRegistry();
  Third.adoptView(rolesOf(2, ShardRole::Home, "t", {"t", "x"}), Start);
  auto Shard = KeyRegistry::shardOf("acme", "k");
  EXPECT_TRUE(std::holds_alternative<ClaimRebalancing>(
      Third.claim(claimOf(2, "k", "c2"), Start)));
  ShardExport Nothing;
  Nothing.ViewVersion = 2;
  Nothing.Shard = Shard;
  Nothing.SenderIncarnation = "x";
  Nothing.Incomplete = true;
  EXPECT_TRUE(Third.importShard(Nothing, Start));
  auto Decision = Third.claim(claimOf(2, "k", "c2"), Start);
  ASSERT_TRUE(std::holds_alternative<ClaimHistoryLost>(Decision));
  EXPECT_EQ(std::get<ClaimHistoryLost>(Decision).Until,
            Start + std::chrono::seconds(300));
  // A release must not replace what a late transfer may still bring.
  EXPECT_TRUE(std::holds_alternative<ReportShardNotReady>(
      Third.reportOutcome(reportOf(2, "k", "c9", true), Start)));
  EXPECT_FALSE(Third.findRecord("acme", "k", Start).has_value());
  // A live holder's grant outlives the retention time.
  EXPECT_TRUE(std::holds_alternative<ReplicationNeeded>(
      Third.reassert(claimOf(2, "k", "c1"), Start)));
  EXPECT_TRUE(Third.evictExpired(Start + std::chrono::seconds(299)).empty());
  EXPECT_EQ(Third.evictExpired(Start + std::chrono::seconds(300)),
            std::vector<std::uint32_t>{Shard});
  EXPECT_TRUE(std::holds_alternative<ClaimInProgress>(
      Third.claim(claimOf(2, "k", "c2"), Start + std::chrono::seconds(301))));
}

/// Hosts that adopt views late, with the shard owners of the program.
class SkippedViews {
public:
  auto join(const std::string &Name) -> void {
    Current = Current.withMember({.Name = Name,
                                  .Incarnation = "i-" + Name,
                                  .ApiAddress = "",
                                  .PeerAddress = "",
                                  .AvailabilityZone = Name.substr(0, 1)},
                                 true);
    Registries.try_emplace(Name, makeRegistry());
  }
  auto leave(const std::string &Name) -> void {
    Current = Current.withoutMembers({Name}, true, false);
    Registries.erase(Name);
  }
  auto restart(const std::string &Name) -> void {
    Registries.erase(Name);
    Registries.emplace(Name, makeRegistry());
  }
  auto adopt(const std::string &Name) -> void {
    KeyRegistry &Target = Registries.at(Name);
    for (const auto &Roles : ShardRoles::forSkippedViews(
             Current, Target.viewVersion(), Name, {"i-" + Name})) {
      Target.adoptView(Roles, Start);
      Target.endClaimsOfLostHolders(Roles.Members, Start);
    }
    auto Roles =
        ShardRoles::forView(Current, ShardMap(Current), Name, {"i-" + Name});
    Target.adoptView(Roles, Start);
    Target.endClaimsOfLostHolders(Roles.Members, Start);
  }
  /// Every host adopts the view and sends its shards once.
  auto settle() -> void {
    for (auto &[Name, Registry] : Registries)
      adopt(Name);
    ShardMap Owners(Current);
    for (auto &[Name, Registry] : Registries)
      for (std::uint32_t Shard = 0; Shard < KeyShardCount; ++Shard)
        for (const auto &To : {Owners.home(Shard), Owners.backup(Shard)})
          if (To != Name && !To.empty())
            Registries.at(To).importShard(Registry.exportShard(Shard, Start),
                                          Start);
  }
  /// One host sends the shards of the keys to the home, or to the backup, if
  /// both know the newest view.
  auto sendOnce(const std::string &Name, bool ToBackup) -> void {
    ShardMap Owners(Current);
    for (int Key = 0; Key < 5; ++Key) {
      auto Shard = KeyRegistry::shardOf("acme", "k" + std::to_string(Key));
      const auto &To = ToBackup ? Owners.backup(Shard) : Owners.home(Shard);
      if (To != Name && !To.empty())
        Registries.at(To).importShard(
            Registries.at(Name).exportShard(Shard, Start), Start);
    }
  }
  /// Shards whose home can decide on claims.
  auto completeHomes() -> std::size_t {
    ShardMap Owners(Current);
    std::size_t Count = 0;
    for (std::uint32_t Shard = 0; Shard < KeyShardCount; ++Shard)
      Count += Registries.at(Owners.home(Shard)).isComplete(Shard) ? 1 : 0;
    return Count;
  }
  /// Claims a key at its home; true if it was granted with a copy.
  auto grant(const std::string &Key) -> bool {
    ShardMap Owners(Current);
    auto Shard = KeyRegistry::shardOf("acme", Key);
    KeyRegistry &Home = Registries.at(Owners.home(Shard));
    auto Decision = Home.claim(claimOf(Current.version(), Key,
                                       "c" + std::to_string(++Claims),
                                       "i-" + Owners.home(Shard)),
                               Start);
    const auto *Needed = std::get_if<ReplicationNeeded>(&Decision);
    if (!Needed)
      return false;
    const auto &Backup = Owners.backup(Shard);
    if (!Backup.empty() &&
        Registries.at(Backup).storeReplica(Current.version(), Needed->Record,
                                           Start) != ReplicaStoreResult::Stored)
      return false;
    return std::holds_alternative<ReplicationGrantsClaim>(
        Home.confirmReplication(Current.version(), Needed->Record, Start));
  }

  std::map<std::string, KeyRegistry> Registries;
  View Current;
  int Claims = 0;
};

// Guards against a cold start after which no key can be claimed for the whole
// retention time: eight hosts write eight views, and each host sees only the
// one that it wrote and the last one.
TEST(SkippedViewsTest, coldStartOfEightLosesNoHistory) {
  SkippedViews Hosts;
  for (int Number = 0; Number < 8; ++Number) {
    std::string Name =
        std::string(1, char('a' + Number % 4)) + std::to_string(Number);
    Hosts.join(Name);
    Hosts.adopt(Name);
  }
  Hosts.settle();
  EXPECT_EQ(Hosts.completeHomes(), KeyShardCount);
  EXPECT_TRUE(Hosts.grant("k"));
  EXPECT_FALSE(Hosts.grant("k"));
}

// Guards against lost history when hosts are replaced one after the other and
// the others see every third view.
TEST(SkippedViewsTest, rollingReplacementKeepsGrants) {
  SkippedViews Hosts;
  for (const char *Name : {"a0", "b0", "c0", "d0", "a1", "b1"})
    Hosts.join(Name);
  Hosts.settle();
  for (int Key = 0; Key < 50; ++Key)
    ASSERT_TRUE(Hosts.grant("k" + std::to_string(Key)));
  Hosts.join("c1");
  Hosts.leave("a0");
  Hosts.join("d1");
  Hosts.settle();
  EXPECT_EQ(Hosts.completeHomes(), KeyShardCount);
  for (int Key = 0; Key < 50; ++Key)
    EXPECT_FALSE(Hosts.grant("k" + std::to_string(Key)));
}

// Guards against a view that counts as idle although its backup, which does not
// know the whole history, stored a grant and its home died afterwards.
TEST(SkippedViewsTest, backupWithStoredGrantDoesNotCallTheViewIdle) {
  for (bool WithGrant : {false, true}) {
    KeyRegistry Old = makeRegistry();
    KeyRegistry Home = makeRegistry();
    KeyRegistry Backup = makeRegistry();
    auto Shard = KeyRegistry::shardOf("acme", "k");
    Old.adoptView(rolesOf(1, ShardRole::Home, "o", {"o"}), Start);
    std::set<std::string> Members{"o", "h", "b", "x"};
    Old.adoptView(rolesOf(2, ShardRole::None, "o", Members), Start);
    Home.adoptView(rolesOf(2, ShardRole::Home, "h", Members), Start);
    Backup.adoptView(rolesOf(2, ShardRole::Backup, "b", Members), Start);
    ASSERT_TRUE(Home.importShard(Old.exportShard(Shard, Start), Start));
    ASSERT_TRUE(Home.isComplete(Shard));
    if (WithGrant) {
      auto Decision = Home.claim(claimOf(2, "k", "c1"), Start);
      auto Record = std::get<ReplicationNeeded>(Decision).Record;
      ASSERT_EQ(Backup.storeReplica(2, Record, Start),
                ReplicaStoreResult::Stored);
    }
    std::set<std::string> Left{"o", "b", "x"};
    Old.adoptView(rolesOf(3, ShardRole::Home, "o", Left), Start);
    Backup.adoptView(rolesOf(3, ShardRole::Backup, "b", Left), Start);
    EXPECT_FALSE(Old.isComplete(Shard));
    ASSERT_TRUE(Old.importShard(Backup.exportShard(Shard, Start), Start));
    EXPECT_EQ(Old.isComplete(Shard), !WithGrant);
  }
}

// Guards against a process that takes the role, and the empty shards, of the
// earlier process under its name.
TEST(SkippedViewsTest, newIncarnationHasNoRoleOfItsPredecessor) {
  View First = View().withMember({.Name = "a",
                                  .Incarnation = "old",
                                  .ApiAddress = "",
                                  .PeerAddress = "",
                                  .AvailabilityZone = "z"},
                                 true);
  KeyRegistry Registry = makeRegistry();
  auto Roles = ShardRoles::forView(First, ShardMap(First), "a", {"new"});
  EXPECT_EQ(Roles.Roles[0], ShardRole::None);
  Registry.adoptView(Roles, Start);
  View Second = First.withMember({.Name = "a",
                                  .Incarnation = "new",
                                  .ApiAddress = "",
                                  .PeerAddress = "",
                                  .AvailabilityZone = "z"},
                                 true);
  Registry.adoptView(
      ShardRoles::forView(Second, ShardMap(Second), "a", {"new"}), Start);
  EXPECT_FALSE(Registry.isComplete(0));
}

// Guards against two grants of one key when hosts skip views in any pattern:
// each step joins or removes a host, lets some hosts adopt the view, lets all
// adopt it and exchange their shards, or claims a key.
RC_GTEST_PROP(SkippedViewsProperty, grantsEachKeyOnce, ()) {
  auto Choices = *rc::gen::container<std::vector<std::uint32_t>>(
      80, rc::gen::arbitrary<std::uint32_t>());
  SkippedViews Hosts;
  std::set<std::string> Granted;
  int Joined = 0;
  auto Join = [&] {
    Hosts.join(std::string(1, char('a' + Joined % 4)) + std::to_string(Joined));
    ++Joined;
  };
  Join();
  Hosts.settle();
  for (std::uint32_t Choice : Choices) {
    std::uint32_t Part = Choice / 8;
    auto Any = [&] {
      return std::next(Hosts.Registries.begin(), Part % Hosts.Registries.size())
          ->first;
    };
    if (Choice % 8 == 0 && Hosts.Registries.size() < 5) {
      Join();
    } else if (Choice % 8 == 1 && Part % 2 == 0 &&
               Hosts.Registries.size() > 1) {
      Hosts.leave(Any());
    } else if (Choice % 8 < 5) {
      Hosts.adopt(Any());
    } else if (Choice % 8 == 5 && Part % 4 == 0) {
      Hosts.settle();
    } else if (Choice % 8 <= 6) {
      Hosts.sendOnce(Any(), Choice / 64 % 2 == 0);
    } else {
      std::string Key = "k" + std::to_string(Part % 5);
      if (Hosts.grant(Key))
        RC_ASSERT(Granted.insert(Key).second);
    }
  }
}

// Guards against unbounded memory, and against eviction of a grant whose
// holder may still report.
TEST(KeyRegistryLimitsTest, boundsRecordsAndEvictsEndedOnes) {
  KeyRegistryLimits Limits;
  Limits.MaxRecords = 2;
  Limits.MaxOutcomeBytes = 8;
  KeyRegistry Home = makeRegistry(Limits);
  Home.adoptView(rolesOf(1, ShardRole::Home, "h", {"h", "x"}), Start);
  Home.claim(claimOf(1, "a", "c1"), Start);
  Home.claim(claimOf(1, "b", "c2"), Start);
  EXPECT_TRUE(std::holds_alternative<ClaimRegistryFull>(
      Home.claim(claimOf(1, "c", "c3"), Start)));
  Home.reportOutcome(reportOf(1, "a", "c1", false), Start);
  Home.reportOutcome(reportOf(1, "b", "c2", false), Start);
  EXPECT_FALSE(Home.findRecord("acme", "a", Start)->IsOutcomeUnknown);
  // The second outcome exceeds the bytes: unknown instead of unbounded.
  EXPECT_TRUE(Home.findRecord("acme", "b", Start)->IsOutcomeUnknown);
  Home.evictExpired(Start + std::chrono::seconds(301));
  EXPECT_EQ(Home.recordCount(), 0U);
  Home.claim(claimOf(1, "d", "c4"), Start);
  Home.evictExpired(Start + std::chrono::hours(5));
  EXPECT_EQ(Home.recordCount(), 1U);
}

} // namespace
} // namespace jayramp
