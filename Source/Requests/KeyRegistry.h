#pragma once

#include "Base/Result.h"
#include "Requests/ClaimDecision.h"
#include "Requests/KeyClaim.h"
#include "Requests/KeyRegistryLimits.h"
#include "Requests/OutcomeReport.h"
#include "Requests/ReplicationDecision.h"
#include "Requests/ShardExport.h"
#include "Requests/ShardRoles.h"

#include <memory>
#include <optional>
#include <string_view>

namespace jayramp {

/// The request keys that one entry host holds as home or as backup.
///
/// Safe to call from any thread: each of the 256 shards has its own mutex, and
/// adoptView() changes them one by one. The caller checks contact with a
/// majority of the view before claim() and before it sends a grant.
class KeyRegistry {
public:
  static auto make(KeyRegistryLimits Limits) -> Result<KeyRegistry>;

  KeyRegistry(KeyRegistry &&) noexcept;
  auto operator=(KeyRegistry &&) noexcept -> KeyRegistry &;
  ~KeyRegistry();

  /// Shard of a key, equal on all hosts and in all versions of the program.
  /// Messages that name another shard for a key are refused.
  static auto shardOf(std::string_view Account, std::string_view Key)
      -> std::uint32_t;

  /// Home: decides on a claim. Repeats with the same id are safe.
  auto claim(const KeyClaim &Claim, TimePoint Now) -> ClaimDecision;

  /// Home: the backup answered Stored to \p Sent in the view \p ViewVersion.
  auto confirmReplication(std::uint64_t ViewVersion, const KeyRecord &Sent,
                          TimePoint Now) -> ReplicationDecision;

  /// Home: the backup refused \p Sent or did not answer. Nothing is granted;
  /// a repeated claim starts the replication again. Returns whether the claim
  /// is still tentative (refuse it as NO_REPLICA).
  auto failReplication(std::uint64_t ViewVersion, const KeyRecord &Sent)
      -> bool;

  /// Backup: stores a record of the home.
  auto storeReplica(std::uint64_t ViewVersion, const KeyRecord &Record,
                    TimePoint Now) -> ReplicaStoreResult;

  /// Home: records how a granted request ended.
  auto reportOutcome(const OutcomeReport &Report, TimePoint Now)
      -> ReportDecision;

  /// Home in a shard whose history is lost: a live holder names a claim that
  /// it was granted earlier, so that the key stays held for longer than the
  /// retention time. ReplicationNeeded if accepted.
  auto reassert(const KeyClaim &Claim, TimePoint Now) -> ClaimDecision;

  /// Home: the decision that a new claim would meet, without a change;
  /// nothing if the key could be claimed.
  auto query(std::uint64_t ViewVersion, std::string_view Account,
             std::string_view Key, TimePoint Now) const
      -> std::optional<ClaimDecision>;

  /// Sets granted keys of holders outside \p Live to done and unknown, and
  /// drops their tentative claims. Also remembered for later imports. Returns
  /// the changed records of shards whose home this host is.
  auto endClaimsOfLostHolders(const std::set<std::string> &Live, TimePoint Now)
      -> std::vector<KeyRecord>;

  /// Adopts a view and its roles; versions that are not newer are ignored
  /// (false). Skipped views lose the completeness of all shards, because other
  /// hosts may have granted keys in them; a caller that knows the skipped
  /// views adopts each in turn. Call endClaimsOfLostHolders() next, then send
  /// exportShard() of every shard to its home and backup.
  auto adoptView(const ShardRoles &Roles, TimePoint Now) -> bool;

  /// The records of a shard for its new home and backup, valid only in the
  /// current view. Not complete: no records, mark `Incomplete`.
  auto exportShard(std::uint32_t Shard, TimePoint Now) const -> ShardExport;

  /// Home or backup: merges the records; newer versions win. Once every other
  /// member has sent a whole transfer and none was complete, the history is
  /// lost. Returns false if refused (another view, or role Neither).
  auto importShard(const ShardExport &Transfer, TimePoint Now) -> bool;

  /// Removes records past their retention and ends lost histories. Returns
  /// the shards that became complete here as home: export them to the backup.
  auto evictExpired(TimePoint Now) -> std::vector<std::uint32_t>;

  auto viewVersion() const -> std::uint64_t;
  auto role(std::uint32_t Shard) const -> ShardRole;
  auto isComplete(std::uint32_t Shard) const -> bool;
  /// Held record of a key in any state.
  auto findRecord(std::string_view Account, std::string_view Key,
                  TimePoint Now) const -> std::optional<KeyRecord>;
  auto recordCount() const -> std::size_t;

private:
  class State;
  explicit KeyRegistry(std::unique_ptr<State> Initial);

  std::unique_ptr<State> Inner;
};

} // namespace jayramp
