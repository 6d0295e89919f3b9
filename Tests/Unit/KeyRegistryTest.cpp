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

auto makeRoles(std::uint64_t Version, ShardRole Role, std::string Own,
               std::set<std::string> Members) -> ShardRoles {
  ShardRoles Roles;
  Roles.ViewVersion = Version;
  Roles.OwnIncarnation = std::move(Own);
  Roles.Members = std::move(Members);
  Roles.Roles.fill(Role);
  Roles.IsFirstView = Version == 1;
  return Roles;
}

auto makeClaim(std::uint64_t Version, const std::string &Key,
               const std::string &Id, const std::string &Holder = "x")
    -> KeyClaim {
  return {Version, KeyRegistry::shardOf("acme", Key), "acme", Key, Id, Holder,
          Holder};
}

auto makeReport(std::uint64_t Version, const std::string &Key,
                const std::string &Id, bool Released) -> OutcomeReport {
  return {Version,  KeyRegistry::shardOf("acme", Key), "acme", Key, Id,
          Released, Released ? "" : "answer"};
}

/// Provides the home "h" and the backup "s" of all shards in view 1.
class KeyRegistryTest : public ::testing::Test {
protected:
  KeyRegistryTest() {
    Home.adoptView(makeRoles(1, ShardRole::Home, "h", Members), Start);
    Backup.adoptView(makeRoles(1, ShardRole::Backup, "s", Members), Start);
    Home.endClaimsOfLostHolders(Members, Start);
    Backup.endClaimsOfLostHolders(Members, Start);
  }

  auto grantKey(const std::string &Key, const std::string &Id,
                std::uint64_t Version = 1) -> ReplicationDecision {
    auto Decision = Home.claim(makeClaim(Version, Key, Id), Start);
    auto Record = std::get<ReplicationNeeded>(Decision).Record;
    EXPECT_EQ(Backup.storeReplica(Version, Record, Start),
              ReplicaStoreResult::Stored);
    return Home.confirmReplication(Version, Record, Start);
  }

  std::set<std::string> Members{"h", "s", "x", "y"};
  KeyRegistry Home = makeRegistry();
  KeyRegistry Backup = makeRegistry();
};

// Guards against two requests with the same key that both run, and against
// grants that are lost with their home. Covers any order of claims, repeats,
// lost and duplicated messages, view changes, transfers, restarts and paused
// former homes.
RC_GTEST_PROP(KeyRegistryProperty, grantsEachKeyOnceAndReplicated, ()) {
  auto Choices = *rc::gen::container<std::vector<std::uint32_t>>(
      StepCount, rc::gen::arbitrary<std::uint32_t>());
  KeyRegistryModel Model(InjectedFault::None);
  for (std::uint32_t Choice : Choices) {
    Model.executeStep(Choice);
    if (!Model.firstViolation().empty())
      RC_FAIL(Model.firstViolation());
  }
}

/// Runs the model with the seeds from 1 to \p Seeds. Returns the first seed
/// with a violation, or 0 if there is none, and adds up the grants and views of
/// all runs.
auto findViolation(InjectedFault Fault, unsigned Seeds, std::size_t &GrantCount,
                   std::size_t &Views) -> unsigned {
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    std::mt19937 Random(Seed);
    KeyRegistryModel Model(Fault);
    for (std::size_t Step = 0; Step < StepCount; ++Step)
      Model.executeStep(Random());
    GrantCount += Model.grantCount();
    Views += Model.viewCount();
    if (!Model.firstViolation().empty()) {
      std::cout << "seed " << Seed << ": " << Model.firstViolation() << "\n";
      return Seed;
    }
  }
  return 0;
}

// Guards against a model that detects nothing: each injected fault must lead to
// a violation, and the model without a fault must grant often.
TEST(KeyRegistryModelTest, detectsInjectedFaults) {
  std::size_t GrantCount = 0;
  std::size_t Views = 0;
  EXPECT_NE(findViolation(InjectedFault::GrantBeforeAcknowledgement, 100,
                          GrantCount, Views),
            0U);
  EXPECT_NE(
      findViolation(InjectedFault::IgnoreViewVersion, 2000, GrantCount, Views),
      0U);
  EXPECT_NE(findViolation(InjectedFault::KeepCompleteAfterSkippedView, 5000,
                          GrantCount, Views),
            0U);
  GrantCount = 0;
  Views = 0;
  EXPECT_EQ(findViolation(InjectedFault::None, 3000, GrantCount, Views), 0U);
  std::cout << "3000 runs without a fault: " << GrantCount << " grants, "
            << Views << " views\n";
  EXPECT_GT(GrantCount, 3000U);
}

// Guards against a grant without the backup's acknowledgement, and against a
// claim that cannot be granted again after the reply was lost.
TEST_F(KeyRegistryTest,
       grantsAfterBackupAcknowledgementAndRepeatsGrantToSameClaim) {
  auto First = Home.claim(makeClaim(1, "k", "c1"), Start);
  ASSERT_TRUE(std::holds_alternative<ReplicationNeeded>(First));
  auto Record = std::get<ReplicationNeeded>(First).Record;
  EXPECT_TRUE(Home.handleReplicationFailure(1, Record));
  EXPECT_TRUE(std::holds_alternative<ClaimInProgress>(
      Home.claim(makeClaim(1, "k", "c2", "y"), Start)));
  EXPECT_TRUE(std::holds_alternative<ReplicationNeeded>(
      Home.claim(makeClaim(1, "k", "c1"), Start)));
  EXPECT_EQ(Backup.storeReplica(1, Record, Start), ReplicaStoreResult::Stored);
  EXPECT_TRUE(std::holds_alternative<ReplicationGrantsClaim>(
      Home.confirmReplication(1, Record, Start)));
  EXPECT_TRUE(std::holds_alternative<ClaimGranted>(
      Home.claim(makeClaim(1, "k", "c1"), Start)));
}

// Guards against processing messages that were sent in another view.
TEST_F(KeyRegistryTest, refusesMessagesOfOtherViews) {
  auto Decision = Home.claim(makeClaim(2, "k", "c1"), Start);
  ASSERT_TRUE(std::holds_alternative<ClaimWrongView>(Decision));
  EXPECT_EQ(std::get<ClaimWrongView>(Decision).OwnVersion, 1U);
  auto Record =
      std::get<ReplicationNeeded>(Home.claim(makeClaim(1, "k", "c1"), Start))
          .Record;
  EXPECT_EQ(Backup.storeReplica(2, Record, Start),
            ReplicaStoreResult::WrongView);
  EXPECT_TRUE(std::holds_alternative<ReplicationAcknowledgementStale>(
      Home.confirmReplication(2, Record, Start)));
  EXPECT_TRUE(std::holds_alternative<ReportWrongView>(
      Home.reportOutcome(makeReport(2, "k", "c1", false), Start)));
  EXPECT_TRUE(std::holds_alternative<ClaimNotHome>(
      Backup.claim(makeClaim(1, "k", "c1"), Start)));
}

// Guards against a paused former home that grants a claim after the next view
// made another host the home.
TEST_F(KeyRegistryTest, pausedFormerHomeCannotGrant) {
  auto Record =
      std::get<ReplicationNeeded>(Home.claim(makeClaim(1, "k", "c1"), Start))
          .Record;
  Backup.adoptView(makeRoles(2, ShardRole::Home, "s", {"s", "y"}), Start);
  EXPECT_EQ(Backup.storeReplica(1, Record, Start),
            ReplicaStoreResult::WrongView);
  EXPECT_TRUE(std::holds_alternative<ReplicationNeeded>(
      Backup.claim(makeClaim(2, "k", "c2", "y"), Start)));
}

// Guards against running a request again after its outcome was reported, and
// against mixing up repeated, late and mismatched reports.
TEST_F(KeyRegistryTest, distinguishesDuplicateLateAndMismatchedReports) {
  grantKey("k", "c1");
  EXPECT_TRUE(std::holds_alternative<ReportClaimMismatch>(
      Home.reportOutcome(makeReport(1, "k", "c2", false), Start)));
  auto First = Home.reportOutcome(makeReport(1, "k", "c1", false), Start);
  ASSERT_TRUE(std::holds_alternative<ReportRecorded>(First));
  // The outcome is not replicated yet, so the repeated report must not be
  // acknowledged.
  EXPECT_TRUE(std::holds_alternative<ReportRecorded>(
      Home.reportOutcome(makeReport(1, "k", "c1", false), Start)));
  auto Record = std::get<ReportRecorded>(First).Record;
  EXPECT_EQ(Backup.storeReplica(1, Record, Start), ReplicaStoreResult::Stored);
  EXPECT_TRUE(std::holds_alternative<ReplicationConfirmsOutcome>(
      Home.confirmReplication(1, Record, Start)));
  EXPECT_TRUE(std::holds_alternative<ReportDuplicate>(
      Home.reportOutcome(makeReport(1, "k", "c1", false), Start)));
  EXPECT_TRUE(std::holds_alternative<ReportTooLate>(
      Home.reportOutcome(makeReport(1, "k", "c1", true), Start)));
  auto Repeat = Home.claim(makeClaim(1, "k", "c2", "y"), Start);
  ASSERT_TRUE(std::holds_alternative<ClaimDone>(Repeat));
  EXPECT_EQ(std::get<ClaimDone>(Repeat).Record.Outcome, "answer");
}

// Guards against a released key that cannot be claimed again, and against a
// late repeat of the released claim that claims the key again.
TEST_F(KeyRegistryTest, releasedKeyCanBeClaimedByAnotherClaim) {
  grantKey("k", "c1");
  Home.reportOutcome(makeReport(1, "k", "c1", true), Start);
  EXPECT_TRUE(std::holds_alternative<ClaimReleased>(
      Home.claim(makeClaim(1, "k", "c1"), Start)));
  EXPECT_FALSE(Home.query(1, "acme", "k", Start).has_value());
  EXPECT_TRUE(std::holds_alternative<ReplicationNeeded>(
      Home.claim(makeClaim(1, "k", "c2", "y"), Start)));
}

// Guards against an older record that replaces a newer one at the backup
// because replication messages arrived in the wrong order.
TEST_F(KeyRegistryTest, olderReplicaDoesNotReplaceNewerRecord) {
  auto Claimed =
      std::get<ReplicationNeeded>(Home.claim(makeClaim(1, "k", "c1"), Start))
          .Record;
  auto Done = std::get<ReportRecorded>(
                  Home.reportOutcome(makeReport(1, "k", "c1", false), Start))
                  .Record;
  EXPECT_EQ(Backup.storeReplica(1, Done, Start), ReplicaStoreResult::Stored);
  EXPECT_EQ(Backup.storeReplica(1, Claimed, Start),
            ReplicaStoreResult::HasNewerWrite);
  EXPECT_EQ(Backup.findRecord("acme", "k", Start)->State, KeyState::Done);
}

// Guards against keys that stay in progress forever, or whose request runs
// again, after the holder of the claim was lost.
TEST_F(KeyRegistryTest, grantsOfLostHolderEndWithUnknownOutcome) {
  grantKey("granted", "c1");
  Home.claim(makeClaim(1, "tentative", "c2"), Start);
  auto Changed = Home.endClaimsOfLostHolders({"h", "s", "y"}, Start);
  EXPECT_EQ(Changed.size(), 2U);
  auto Decision = Home.claim(makeClaim(1, "granted", "c3", "y"), Start);
  ASSERT_TRUE(std::holds_alternative<ClaimDone>(Decision));
  EXPECT_TRUE(std::get<ClaimDone>(Decision).Record.IsOutcomeUnknown);
  EXPECT_TRUE(std::holds_alternative<ReportTooLate>(
      Home.reportOutcome(makeReport(1, "granted", "c1", false), Start)));
  EXPECT_TRUE(std::holds_alternative<ReplicationNeeded>(
      Home.claim(makeClaim(1, "tentative", "c3", "y"), Start)));
}

// Guards against grants by a new home that does not know the earlier grants
// yet.
TEST_F(KeyRegistryTest, newHomeWaitsForCompleteTransfer) {
  grantKey("k", "c1");
  KeyRegistry Third = makeRegistry();
  std::set<std::string> NewMembers{"h", "s", "t", "x", "y"};
  Third.adoptView(makeRoles(2, ShardRole::Home, "t", NewMembers), Start);
  Home.adoptView(makeRoles(2, ShardRole::Backup, "h", NewMembers), Start);
  EXPECT_TRUE(std::holds_alternative<ClaimRebalancing>(
      Third.claim(makeClaim(2, "k", "c2", "y"), Start)));
  auto Shard = KeyRegistry::shardOf("acme", "k");
  auto Transfer = Home.exportShard(Shard, Start);
  ASSERT_TRUE(Transfer.Complete);
  auto Partial = Transfer;
  Partial.Complete = false;
  EXPECT_TRUE(Third.importShard(Partial, Start));
  EXPECT_TRUE(std::holds_alternative<ClaimRebalancing>(
      Third.claim(makeClaim(2, "k", "c2", "y"), Start)));
  EXPECT_TRUE(Third.importShard(Transfer, Start));
  EXPECT_TRUE(std::holds_alternative<ClaimInProgress>(
      Third.claim(makeClaim(2, "k", "c2", "y"), Start)));
  EXPECT_EQ(Third.evictExpired(Start), std::vector<std::uint32_t>{Shard});
  // The grant of view 1 must be replicated to the backup of the current view.
  EXPECT_TRUE(std::holds_alternative<ReplicationNeeded>(
      Third.claim(makeClaim(2, "k", "c1"), Start)));
}

// Guards against exporting a shard as complete after the host missed the grants
// of a skipped view.
TEST_F(KeyRegistryTest, skippedViewMakesShardIncomplete) {
  auto Shard = KeyRegistry::shardOf("acme", "k");
  EXPECT_TRUE(Home.exportShard(Shard, Start).Complete);
  Home.adoptView(makeRoles(3, ShardRole::Backup, "h", Members), Start);
  EXPECT_TRUE(Home.exportShard(Shard, Start).Incomplete);
  Backup.adoptView(makeRoles(2, ShardRole::None, "s", Members), Start);
  EXPECT_TRUE(Backup.exportShard(Shard, Start).Complete);
  Backup.adoptView(makeRoles(3, ShardRole::Home, "s", Members), Start);
  EXPECT_TRUE(Backup.exportShard(Shard, Start).Incomplete);
  EXPECT_FALSE(
      Backup.adoptView(makeRoles(2, ShardRole::Home, "s", Members), Start));
}

// Guards against running a request a second time after the home and the backup
// of its key were lost together.
TEST_F(KeyRegistryTest, lostHistoryBlocksNewClaimsForRetentionTime) {
  KeyRegistry Third = makeRegistry();
  Third.adoptView(makeRoles(2, ShardRole::Home, "t", {"t", "x"}), Start);
  auto Shard = KeyRegistry::shardOf("acme", "k");
  EXPECT_TRUE(std::holds_alternative<ClaimRebalancing>(
      Third.claim(makeClaim(2, "k", "c2"), Start)));
  ShardExport EmptyTransfer;
  EmptyTransfer.ViewVersion = 2;
  EmptyTransfer.Shard = Shard;
  EmptyTransfer.SenderIncarnation = "x";
  EmptyTransfer.Incomplete = true;
  EXPECT_TRUE(Third.importShard(EmptyTransfer, Start));
  auto Decision = Third.claim(makeClaim(2, "k", "c2"), Start);
  ASSERT_TRUE(std::holds_alternative<ClaimHistoryLost>(Decision));
  EXPECT_EQ(std::get<ClaimHistoryLost>(Decision).Until,
            Start + std::chrono::seconds(300));
  // A release must not replace a record that a late transfer may still bring.
  EXPECT_TRUE(std::holds_alternative<ReportShardNotReady>(
      Third.reportOutcome(makeReport(2, "k", "c9", true), Start)));
  EXPECT_FALSE(Third.findRecord("acme", "k", Start).has_value());
  // The grant of a live holder is kept beyond the retention time.
  EXPECT_TRUE(std::holds_alternative<ReplicationNeeded>(
      Third.reassert(makeClaim(2, "k", "c1"), Start)));
  EXPECT_TRUE(Third.evictExpired(Start + std::chrono::seconds(299)).empty());
  EXPECT_EQ(Third.evictExpired(Start + std::chrono::seconds(300)),
            std::vector<std::uint32_t>{Shard});
  EXPECT_TRUE(std::holds_alternative<ClaimInProgress>(
      Third.claim(makeClaim(2, "k", "c2"), Start + std::chrono::seconds(301))));
}

/// Cluster of hosts that adopt views late, with homes and backups assigned by
/// ShardMap.
class ClusterWithSkippedViews {
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
  /// Lets every host adopt the newest view and send its shards once.
  auto adoptEverywhereAndTransferShards() -> void {
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
  /// Lets one host send the shards of the keys "k0" to "k4" to their homes, or
  /// to their backups. Receivers in another view than the sender refuse them.
  auto sendShardsFrom(const std::string &Name, bool ToBackup) -> void {
    ShardMap Owners(Current);
    for (int Key = 0; Key < 5; ++Key) {
      auto Shard = KeyRegistry::shardOf("acme", "k" + std::to_string(Key));
      const auto &To = ToBackup ? Owners.backup(Shard) : Owners.home(Shard);
      if (To != Name && !To.empty())
        Registries.at(To).importShard(
            Registries.at(Name).exportShard(Shard, Start), Start);
    }
  }
  /// Returns the number of shards whose home can decide on claims.
  auto completeHomeCount() -> std::size_t {
    ShardMap Owners(Current);
    std::size_t Count = 0;
    for (std::uint32_t Shard = 0; Shard < KeyShardCount; ++Shard)
      Count += Registries.at(Owners.home(Shard)).isComplete(Shard) ? 1 : 0;
    return Count;
  }
  /// Claims a key at its home. Returns whether it was granted after it was
  /// replicated to the backup.
  auto grantKey(const std::string &Key) -> bool {
    ShardMap Owners(Current);
    auto Shard = KeyRegistry::shardOf("acme", Key);
    KeyRegistry &Home = Registries.at(Owners.home(Shard));
    auto Decision = Home.claim(makeClaim(Current.version(), Key,
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
// retention time. Eight hosts write eight views, and each host sees only the
// view that it wrote and the last one.
TEST(SkippedViewsTest, coldStartOfEightHostsKeepsHistory) {
  ClusterWithSkippedViews Hosts;
  for (int Number = 0; Number < 8; ++Number) {
    std::string Name =
        std::string(1, char('a' + Number % 4)) + std::to_string(Number);
    Hosts.join(Name);
    Hosts.adopt(Name);
  }
  Hosts.adoptEverywhereAndTransferShards();
  EXPECT_EQ(Hosts.completeHomeCount(), KeyShardCount);
  EXPECT_TRUE(Hosts.grantKey("k"));
  EXPECT_FALSE(Hosts.grantKey("k"));
}

// Guards against a lost history when hosts are replaced one after the other and
// the remaining hosts see only every third view.
TEST(SkippedViewsTest, rollingReplacementKeepsGrants) {
  ClusterWithSkippedViews Hosts;
  for (const char *Name : {"a0", "b0", "c0", "d0", "a1", "b1"})
    Hosts.join(Name);
  Hosts.adoptEverywhereAndTransferShards();
  for (int Key = 0; Key < 50; ++Key)
    ASSERT_TRUE(Hosts.grantKey("k" + std::to_string(Key)));
  Hosts.join("c1");
  Hosts.leave("a0");
  Hosts.join("d1");
  Hosts.adoptEverywhereAndTransferShards();
  EXPECT_EQ(Hosts.completeHomeCount(), KeyShardCount);
  for (int Key = 0; Key < 50; ++Key)
    EXPECT_FALSE(Hosts.grantKey("k" + std::to_string(Key)));
}

// Guards against treating a view as idle although a grant was made in it: the
// home was lost afterwards, and the backup, which stored the grant, does not
// know the complete history.
TEST(SkippedViewsTest, backupThatStoredGrantDoesNotReportViewAsIdle) {
  for (bool WithGrant : {false, true}) {
    KeyRegistry Old = makeRegistry();
    KeyRegistry Home = makeRegistry();
    KeyRegistry Backup = makeRegistry();
    auto Shard = KeyRegistry::shardOf("acme", "k");
    Old.adoptView(makeRoles(1, ShardRole::Home, "o", {"o"}), Start);
    std::set<std::string> Members{"o", "h", "b", "x"};
    Old.adoptView(makeRoles(2, ShardRole::None, "o", Members), Start);
    Home.adoptView(makeRoles(2, ShardRole::Home, "h", Members), Start);
    Backup.adoptView(makeRoles(2, ShardRole::Backup, "b", Members), Start);
    ASSERT_TRUE(Home.importShard(Old.exportShard(Shard, Start), Start));
    ASSERT_TRUE(Home.isComplete(Shard));
    if (WithGrant) {
      auto Decision = Home.claim(makeClaim(2, "k", "c1"), Start);
      auto Record = std::get<ReplicationNeeded>(Decision).Record;
      ASSERT_EQ(Backup.storeReplica(2, Record, Start),
                ReplicaStoreResult::Stored);
    }
    std::set<std::string> RemainingMembers{"o", "b", "x"};
    Old.adoptView(makeRoles(3, ShardRole::Home, "o", RemainingMembers), Start);
    Backup.adoptView(makeRoles(3, ShardRole::Backup, "b", RemainingMembers),
                     Start);
    EXPECT_FALSE(Old.isComplete(Shard));
    ASSERT_TRUE(Old.importShard(Backup.exportShard(Shard, Start), Start));
    EXPECT_EQ(Old.isComplete(Shard), !WithGrant);
  }
}

// Guards against a restarted process that takes over the roles of the earlier
// process with the same host name, and so treats its empty shards as complete.
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

// Guards against two grants of one key when hosts skip views in any pattern.
// Each step adds or removes a host, lets one host adopt the newest view or send
// its shards, lets all hosts adopt it and exchange their shards, or claims a
// key.
RC_GTEST_PROP(SkippedViewsProperty, grantsEachKeyOnce, ()) {
  auto Choices = *rc::gen::container<std::vector<std::uint32_t>>(
      80, rc::gen::arbitrary<std::uint32_t>());
  ClusterWithSkippedViews Hosts;
  std::set<std::string> Granted;
  int Joined = 0;
  auto Join = [&] {
    Hosts.join(std::string(1, char('a' + Joined % 4)) + std::to_string(Joined));
    ++Joined;
  };
  Join();
  Hosts.adoptEverywhereAndTransferShards();
  for (std::uint32_t Choice : Choices) {
    std::uint32_t Selector = Choice / 8;
    auto SelectHost = [&] {
      return std::next(Hosts.Registries.begin(),
                       Selector % Hosts.Registries.size())
          ->first;
    };
    if (Choice % 8 == 0 && Hosts.Registries.size() < 5) {
      Join();
    } else if (Choice % 8 == 1 && Selector % 2 == 0 &&
               Hosts.Registries.size() > 1) {
      Hosts.leave(SelectHost());
    } else if (Choice % 8 < 5) {
      Hosts.adopt(SelectHost());
    } else if (Choice % 8 == 5 && Selector % 4 == 0) {
      Hosts.adoptEverywhereAndTransferShards();
    } else if (Choice % 8 <= 6) {
      Hosts.sendShardsFrom(SelectHost(), Choice / 64 % 2 == 0);
    } else {
      std::string Key = "k" + std::to_string(Selector % 5);
      if (Hosts.grantKey(Key))
        RC_ASSERT(Granted.insert(Key).second);
    }
  }
}

// Guards against unbounded memory use, and against evicting a grant whose
// holder may still report the outcome.
TEST(KeyRegistryLimitsTest, limitsMemoryAndEvictsOnlyEndedRecords) {
  KeyRegistryLimits Limits;
  Limits.MaxRecords = 2;
  Limits.MaxOutcomeBytes = 8;
  KeyRegistry Home = makeRegistry(Limits);
  Home.adoptView(makeRoles(1, ShardRole::Home, "h", {"h", "x"}), Start);
  Home.claim(makeClaim(1, "a", "c1"), Start);
  Home.claim(makeClaim(1, "b", "c2"), Start);
  EXPECT_TRUE(std::holds_alternative<ClaimRegistryFull>(
      Home.claim(makeClaim(1, "c", "c3"), Start)));
  Home.reportOutcome(makeReport(1, "a", "c1", false), Start);
  Home.reportOutcome(makeReport(1, "b", "c2", false), Start);
  EXPECT_FALSE(Home.findRecord("acme", "a", Start)->IsOutcomeUnknown);
  // The second outcome exceeds the byte limit, so it is stored as unknown.
  EXPECT_TRUE(Home.findRecord("acme", "b", Start)->IsOutcomeUnknown);
  Home.evictExpired(Start + std::chrono::seconds(301));
  EXPECT_EQ(Home.recordCount(), 0U);
  Home.claim(makeClaim(1, "d", "c4"), Start);
  Home.evictExpired(Start + std::chrono::hours(5));
  EXPECT_EQ(Home.recordCount(), 1U);
}

} // namespace
} // namespace jayramp
