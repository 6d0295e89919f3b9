#include "Requests/KeyRegistry.h"

#include "Requests/KeyShard.h"

#include <deque>
#include <mutex>

namespace jayramp {

namespace {

struct ShardWithMutex {
  ShardWithMutex(std::uint32_t Number, KeyRegistryLimits Limits,
                 std::shared_ptr<RegistryUsage> Usage)
      : Shard(Number, Limits, std::move(Usage)) {}

  mutable std::mutex Mutex;
  KeyShard Shard;
};

} // namespace

class KeyRegistry::Implementation {
public:
  explicit Implementation(KeyRegistryLimits Limits)
      : Usage(std::make_shared<RegistryUsage>()) {
    for (std::uint32_t Number = 0; Number < KeyShardCount; ++Number)
      Shards.emplace_back(Number, Limits, Usage);
  }

  /// Calls \p Action with the shard while holding the shard's mutex.
  template <typename Function>
  auto withShard(std::uint32_t Number, Function Action) {
    ShardWithMutex &Entry = Shards[Number % KeyShardCount];
    std::scoped_lock Lock(Entry.Mutex);
    return Action(Entry.Shard);
  }

  std::shared_ptr<RegistryUsage> Usage;
  std::deque<ShardWithMutex> Shards;
  std::mutex
      ViewMutex; ///< Guards the members below; locked before a shard's mutex.
  std::uint64_t View = 0;
  std::string OwnIncarnation;
};

KeyRegistry::KeyRegistry(std::unique_ptr<Implementation> Initial)
    : Body(std::move(Initial)) {}
KeyRegistry::KeyRegistry(KeyRegistry &&) noexcept = default;
auto KeyRegistry::operator=(KeyRegistry &&) noexcept -> KeyRegistry & = default;
KeyRegistry::~KeyRegistry() = default;

auto KeyRegistry::make(KeyRegistryLimits Limits) -> Result<KeyRegistry> {
  if (Limits.MaxRecords == 0)
    return Error::make(
        ErrorKind::InvalidArgument, "MaxRecords",
        "no request key can be claimed if the maximum record count is 0",
        "set at least 1");
  if (Limits.Retention <= Milliseconds(0))
    return Error::make(ErrorKind::InvalidArgument, "Retention",
                       "the records of ended keys would be removed immediately",
                       "set a retention time above 0 ms");
  return KeyRegistry(std::make_unique<Implementation>(Limits));
}

auto KeyRegistry::shardOf(std::string_view Account, std::string_view Key)
    -> std::uint32_t {
  // Uses FNV-1a, because std::hash may differ between builds of the program.
  std::uint64_t Hash = 14695981039346656037ULL;
  auto Add = [&Hash](std::string_view Text) {
    for (char Byte : Text) {
      Hash ^= static_cast<unsigned char>(Byte);
      Hash *= 1099511628211ULL;
    }
  };
  Add(Account);
  Add(std::string_view("\0", 1));
  Add(Key);
  // Folds the high half into the low half: the low bits of an FNV-1a hash
  // depend only on the low bits of the input bytes.
  return static_cast<std::uint32_t>((Hash ^ (Hash >> 32U)) % KeyShardCount);
}

auto KeyRegistry::claim(const KeyClaim &Claim, TimePoint Now) -> ClaimDecision {
  if (Claim.Shard != shardOf(Claim.Account, Claim.Key))
    return ClaimNotHome{};
  return Body->withShard(
      Claim.Shard, [&](KeyShard &Shard) { return Shard.claim(Claim, Now); });
}

auto KeyRegistry::reassert(const KeyClaim &Claim, TimePoint Now)
    -> ClaimDecision {
  if (Claim.Shard != shardOf(Claim.Account, Claim.Key))
    return ClaimNotHome{};
  return Body->withShard(
      Claim.Shard, [&](KeyShard &Shard) { return Shard.reassert(Claim, Now); });
}

auto KeyRegistry::confirmReplication(std::uint64_t ViewVersion,
                                     const KeyRecord &Sent, TimePoint /*Now*/)
    -> ReplicationDecision {
  return Body->withShard(Sent.Shard, [&](KeyShard &Shard) {
    return Shard.confirmReplication(ViewVersion, Sent);
  });
}

auto KeyRegistry::handleReplicationFailure(std::uint64_t ViewVersion,
                                           const KeyRecord &Sent) -> bool {
  return Body->withShard(Sent.Shard, [&](KeyShard &Shard) {
    return Shard.handleReplicationFailure(ViewVersion, Sent);
  });
}

auto KeyRegistry::storeReplica(std::uint64_t ViewVersion,
                               const KeyRecord &Record, TimePoint Now)
    -> ReplicaStoreResult {
  if (Record.Shard != shardOf(Record.Account, Record.Key))
    return ReplicaStoreResult::NotBackup;
  return Body->withShard(Record.Shard, [&](KeyShard &Shard) {
    return Shard.storeReplica(ViewVersion, Record, Now);
  });
}

auto KeyRegistry::reportOutcome(const OutcomeReport &Report, TimePoint Now)
    -> ReportDecision {
  if (Report.Shard != shardOf(Report.Account, Report.Key))
    return ReportWrongView{viewVersion()};
  return Body->withShard(Report.Shard, [&](KeyShard &Shard) {
    return Shard.reportOutcome(Report, Now);
  });
}

auto KeyRegistry::query(std::uint64_t ViewVersion, std::string_view Account,
                        std::string_view Key, TimePoint Now) const
    -> std::optional<ClaimDecision> {
  return Body->withShard(shardOf(Account, Key), [&](const KeyShard &Shard) {
    return Shard.query(ViewVersion, Account, Key, Now);
  });
}

auto KeyRegistry::endClaimsOfLostHolders(const std::set<std::string> &Live,
                                         TimePoint Now)
    -> std::vector<KeyRecord> {
  auto Shared = std::make_shared<const std::set<std::string>>(Live);
  std::vector<KeyRecord> Changed;
  for (std::uint32_t Number = 0; Number < KeyShardCount; ++Number) {
    auto ChangedInShard = Body->withShard(Number, [&](KeyShard &Shard) {
      return Shard.endClaimsOfLostHolders(Shared, Now);
    });
    Changed.insert(Changed.end(), ChangedInShard.begin(), ChangedInShard.end());
  }
  return Changed;
}

auto KeyRegistry::adoptView(const ShardRoles &Roles, TimePoint Now) -> bool {
  std::scoped_lock Lock(Body->ViewMutex);
  if (Roles.ViewVersion <= Body->View)
    return false;
  auto Others = Roles.Members;
  Others.erase(Roles.OwnIncarnation);
  auto Shared = std::make_shared<const std::set<std::string>>(Others);
  for (std::uint32_t Number = 0; Number < KeyShardCount; ++Number)
    Body->withShard(Number, [&](KeyShard &Shard) {
      Shard.adoptView(Roles.ViewVersion, Roles.Roles[Number], Shared,
                      Roles.IsFirstView, Now);
    });
  Body->View = Roles.ViewVersion;
  Body->OwnIncarnation = Roles.OwnIncarnation;
  return true;
}

auto KeyRegistry::exportShard(std::uint32_t Shard, TimePoint Now) const
    -> ShardExport {
  std::string Sender;
  {
    std::scoped_lock Lock(Body->ViewMutex);
    Sender = Body->OwnIncarnation;
  }
  return Body->withShard(Shard, [&](const KeyShard &Target) {
    return Target.exportShard(Sender, Now);
  });
}

auto KeyRegistry::importShard(const ShardExport &Transfer, TimePoint Now)
    -> bool {
  return Body->withShard(Transfer.Shard, [&](KeyShard &Shard) {
    return Shard.importShard(Transfer, Now);
  });
}

auto KeyRegistry::evictExpired(TimePoint Now) -> std::vector<std::uint32_t> {
  std::vector<std::uint32_t> Completed;
  for (std::uint32_t Number = 0; Number < KeyShardCount; ++Number)
    if (Body->withShard(
            Number, [&](KeyShard &Shard) { return Shard.evictExpired(Now); }))
      Completed.push_back(Number);
  return Completed;
}

auto KeyRegistry::viewVersion() const -> std::uint64_t {
  std::scoped_lock Lock(Body->ViewMutex);
  return Body->View;
}

auto KeyRegistry::role(std::uint32_t Shard) const -> ShardRole {
  return Body->withShard(Shard,
                         [](const KeyShard &Target) { return Target.role(); });
}

auto KeyRegistry::isComplete(std::uint32_t Shard) const -> bool {
  return Body->withShard(
      Shard, [](const KeyShard &Target) { return Target.isComplete(); });
}

auto KeyRegistry::findRecord(std::string_view Account, std::string_view Key,
                             TimePoint Now) const -> std::optional<KeyRecord> {
  return Body->withShard(shardOf(Account, Key), [&](const KeyShard &Shard) {
    return Shard.findRecord(Account, Key, Now);
  });
}

auto KeyRegistry::recordCount() const -> std::size_t {
  return Body->Usage->Records.load();
}

} // namespace jayramp
