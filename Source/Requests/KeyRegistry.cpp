#include "Requests/KeyRegistry.h"

#include "Requests/KeyShard.h"

#include <deque>
#include <mutex>

namespace jayramp {

namespace {

struct GuardedShard {
  GuardedShard(std::uint32_t Number, KeyRegistryLimits Limits,
               std::shared_ptr<RegistryUsage> Usage)
      : Shard(Number, Limits, std::move(Usage)) {}

  mutable std::mutex Mutex;
  KeyShard Shard;
};

} // namespace

class KeyRegistry::State {
public:
  explicit State(KeyRegistryLimits Limits)
      : Usage(std::make_shared<RegistryUsage>()) {
    for (std::uint32_t Number = 0; Number < KeyShardCount; ++Number)
      Shards.emplace_back(Number, Limits, Usage);
  }

  /// Calls \p Action with the shard while its mutex is held.
  template <typename Function>
  auto with(std::uint32_t Number, Function Action) {
    GuardedShard &Guarded = Shards[Number % KeyShardCount];
    std::scoped_lock Lock(Guarded.Mutex);
    return Action(Guarded.Shard);
  }

  std::shared_ptr<RegistryUsage> Usage;
  std::deque<GuardedShard> Shards;
  std::mutex ViewMutex; ///< Taken before the mutex of a shard.
  std::uint64_t View = 0;
  std::string OwnIncarnation;
};

KeyRegistry::KeyRegistry(std::unique_ptr<State> Initial)
    : Inner(std::move(Initial)) {}
KeyRegistry::KeyRegistry(KeyRegistry &&) noexcept = default;
auto KeyRegistry::operator=(KeyRegistry &&) noexcept -> KeyRegistry & = default;
KeyRegistry::~KeyRegistry() = default;

auto KeyRegistry::make(KeyRegistryLimits Limits) -> Result<KeyRegistry> {
  if (Limits.MaxRecords == 0)
    return Error::make(ErrorKind::InvalidArgument, "MaxRecords",
                       "no request key could be claimed with 0 records",
                       "set at least 1");
  if (Limits.Retention <= Milliseconds(0))
    return Error::make(ErrorKind::InvalidArgument, "Retention",
                       "ended keys would be forgotten at once",
                       "set a retention time above 0 ms");
  return KeyRegistry(std::make_unique<State>(Limits));
}

auto KeyRegistry::shardOf(std::string_view Account, std::string_view Key)
    -> std::uint32_t {
  // FNV-1a; std::hash may differ between two builds of the program.
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
  // The low bits of FNV-1a depend only on the low bits of the input.
  return static_cast<std::uint32_t>((Hash ^ (Hash >> 32U)) % KeyShardCount);
}

auto KeyRegistry::claim(const KeyClaim &Claim, TimePoint Now) -> ClaimDecision {
  if (Claim.Shard != shardOf(Claim.Account, Claim.Key))
    return ClaimNotHome{};
  return Inner->with(Claim.Shard,
                     [&](KeyShard &Shard) { return Shard.claim(Claim, Now); });
}

auto KeyRegistry::reassert(const KeyClaim &Claim, TimePoint Now)
    -> ClaimDecision {
  if (Claim.Shard != shardOf(Claim.Account, Claim.Key))
    return ClaimNotHome{};
  return Inner->with(
      Claim.Shard, [&](KeyShard &Shard) { return Shard.reassert(Claim, Now); });
}

auto KeyRegistry::confirmReplication(std::uint64_t ViewVersion,
                                     const KeyRecord &Sent, TimePoint /*Now*/)
    -> ReplicationDecision {
  return Inner->with(Sent.Shard, [&](KeyShard &Shard) {
    return Shard.confirmReplication(ViewVersion, Sent);
  });
}

auto KeyRegistry::failReplication(std::uint64_t ViewVersion,
                                  const KeyRecord &Sent) -> bool {
  return Inner->with(Sent.Shard, [&](KeyShard &Shard) {
    return Shard.failReplication(ViewVersion, Sent);
  });
}

auto KeyRegistry::storeReplica(std::uint64_t ViewVersion,
                               const KeyRecord &Record, TimePoint Now)
    -> ReplicaStoreResult {
  if (Record.Shard != shardOf(Record.Account, Record.Key))
    return ReplicaStoreResult::NotBackup;
  return Inner->with(Record.Shard, [&](KeyShard &Shard) {
    return Shard.storeReplica(ViewVersion, Record, Now);
  });
}

auto KeyRegistry::reportOutcome(const OutcomeReport &Report, TimePoint Now)
    -> ReportDecision {
  if (Report.Shard != shardOf(Report.Account, Report.Key))
    return ReportWrongView{viewVersion()};
  return Inner->with(Report.Shard, [&](KeyShard &Shard) {
    return Shard.reportOutcome(Report, Now);
  });
}

auto KeyRegistry::query(std::uint64_t ViewVersion, std::string_view Account,
                        std::string_view Key, TimePoint Now) const
    -> std::optional<ClaimDecision> {
  return Inner->with(shardOf(Account, Key), [&](const KeyShard &Shard) {
    return Shard.query(ViewVersion, Account, Key, Now);
  });
}

auto KeyRegistry::endClaimsOfLostHolders(const std::set<std::string> &Live,
                                         TimePoint Now)
    -> std::vector<KeyRecord> {
  auto Shared = std::make_shared<const std::set<std::string>>(Live);
  std::vector<KeyRecord> Changed;
  for (std::uint32_t Number = 0; Number < KeyShardCount; ++Number) {
    auto Part = Inner->with(Number, [&](KeyShard &Shard) {
      return Shard.endClaimsOfLostHolders(Shared, Now);
    });
    Changed.insert(Changed.end(), Part.begin(), Part.end());
  }
  return Changed;
}

auto KeyRegistry::adoptView(const ShardRoles &Roles, TimePoint Now) -> bool {
  std::scoped_lock Lock(Inner->ViewMutex);
  if (Roles.ViewVersion <= Inner->View)
    return false;
  auto Others = Roles.Members;
  Others.erase(Roles.OwnIncarnation);
  auto Shared = std::make_shared<const std::set<std::string>>(Others);
  for (std::uint32_t Number = 0; Number < KeyShardCount; ++Number)
    Inner->with(Number, [&](KeyShard &Shard) {
      Shard.adoptView(Roles.ViewVersion, Roles.Roles[Number], Shared,
                      Roles.IsFirstView, Now);
    });
  Inner->View = Roles.ViewVersion;
  Inner->OwnIncarnation = Roles.OwnIncarnation;
  return true;
}

auto KeyRegistry::exportShard(std::uint32_t Shard, TimePoint Now) const
    -> ShardExport {
  std::string Sender;
  {
    std::scoped_lock Lock(Inner->ViewMutex);
    Sender = Inner->OwnIncarnation;
  }
  return Inner->with(Shard, [&](const KeyShard &Part) {
    return Part.exportShard(Sender, Now);
  });
}

auto KeyRegistry::importShard(const ShardExport &Transfer, TimePoint Now)
    -> bool {
  return Inner->with(Transfer.Shard, [&](KeyShard &Shard) {
    return Shard.importShard(Transfer, Now);
  });
}

auto KeyRegistry::evictExpired(TimePoint Now) -> std::vector<std::uint32_t> {
  std::vector<std::uint32_t> Completed;
  for (std::uint32_t Number = 0; Number < KeyShardCount; ++Number)
    if (Inner->with(Number,
                    [&](KeyShard &Shard) { return Shard.evictExpired(Now); }))
      Completed.push_back(Number);
  return Completed;
}

auto KeyRegistry::viewVersion() const -> std::uint64_t {
  std::scoped_lock Lock(Inner->ViewMutex);
  return Inner->View;
}

auto KeyRegistry::role(std::uint32_t Shard) const -> ShardRole {
  return Inner->with(Shard, [](const KeyShard &Part) { return Part.role(); });
}

auto KeyRegistry::isComplete(std::uint32_t Shard) const -> bool {
  return Inner->with(Shard,
                     [](const KeyShard &Part) { return Part.isComplete(); });
}

auto KeyRegistry::findRecord(std::string_view Account, std::string_view Key,
                             TimePoint Now) const -> std::optional<KeyRecord> {
  return Inner->with(shardOf(Account, Key), [&](const KeyShard &Shard) {
    return Shard.findRecord(Account, Key, Now);
  });
}

auto KeyRegistry::recordCount() const -> std::size_t {
  return Inner->Usage->Records.load();
}

} // namespace jayramp
