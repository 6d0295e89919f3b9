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

/// Stores the records of the request keys that one entry host owns, either as
/// home (which decides on claims) or as backup (which keeps a replica). The
/// records ensure that a non-idempotent request runs at most once.
///
/// Keys are divided into 256 shards. The shards' home and backup hosts follow
/// from the membership view.
///
/// Thread-safe: each shard has its own mutex, and adoptView() updates the
/// shards one after the other. The caller must check that it is in contact with
/// a majority of the view before claim() and before it sends a grant.
class KeyRegistry {
public:
  /// Creates an empty registry. Returns an InvalidArgument error if the maximum
  /// record count or the retention time is not above 0.
  static auto make(KeyRegistryLimits Limits) -> Result<KeyRegistry>;

  KeyRegistry(KeyRegistry &&) noexcept;
  auto operator=(KeyRegistry &&) noexcept -> KeyRegistry &;
  ~KeyRegistry();

  /// Returns the shard of a key, which is the same on all hosts and in all
  /// versions of the program. Messages that name another shard for a key are
  /// refused.
  static auto shardOf(std::string_view Account, std::string_view Key)
      -> std::uint32_t;

  /// Decides on a claim; called at the home. Repeating a claim with the same
  /// claim id is safe.
  auto claim(const KeyClaim &Claim, TimePoint Now) -> ClaimDecision;

  /// Records that the backup stored \p Sent in the view \p ViewVersion; called
  /// at the home. Returns what the home may do now.
  auto confirmReplication(std::uint64_t ViewVersion, const KeyRecord &Sent,
                          TimePoint Now) -> ReplicationDecision;

  /// Handles that the backup refused \p Sent or did not reply; called at the
  /// home. Grants nothing; a repeated claim starts the replication again.
  /// Returns whether the claim is still tentative, in which case the caller
  /// refuses it as NO_REPLICA.
  auto handleReplicationFailure(std::uint64_t ViewVersion,
                                const KeyRecord &Sent) -> bool;

  /// Stores a record that the home sent; called at the backup.
  auto storeReplica(std::uint64_t ViewVersion, const KeyRecord &Record,
                    TimePoint Now) -> ReplicaStoreResult;

  /// Records how a granted request ended; called at the home.
  auto reportOutcome(const OutcomeReport &Report, TimePoint Now)
      -> ReportDecision;

  /// Restores a claim that its live holder was granted earlier; called at the
  /// home of a shard whose history is lost. The restored record keeps the key
  /// claimed after the retention time. Returns ReplicationNeeded if the claim
  /// is accepted.
  auto reassert(const KeyClaim &Claim, TimePoint Now) -> ClaimDecision;

  /// Returns the decision that a new claim would receive, without changing
  /// anything; called at the home. Returns std::nullopt if the key could be
  /// claimed.
  auto query(std::uint64_t ViewVersion, std::string_view Account,
             std::string_view Key, TimePoint Now) const
      -> std::optional<ClaimDecision>;

  /// Ends the claims of all holders whose incarnation is not in \p Live:
  /// granted keys become done with an unknown outcome, tentative claims are
  /// released. Stores \p Live, so that records imported later are treated the
  /// same way. Returns the changed records of the shards whose home this host
  /// is.
  auto endClaimsOfLostHolders(const std::set<std::string> &Live, TimePoint Now)
      -> std::vector<KeyRecord>;

  /// Adopts a view and this host's roles in it. Returns false, without a
  /// change, if the version is not newer than the current one.
  ///
  /// If versions are skipped, all shards become incomplete, because other hosts
  /// may have granted keys in the skipped views. A caller that knows the
  /// skipped views therefore adopts each of them in order. Afterwards the
  /// caller must call endClaimsOfLostHolders(), then send the exportShard() of
  /// every shard to its home and backup.
  auto adoptView(const ShardRoles &Roles, TimePoint Now) -> bool;

  /// Returns the records of a shard for its home and backup. The export is
  /// valid only in the current view and is marked `Incomplete` if this host
  /// does not know the shard's complete history.
  auto exportShard(std::uint32_t Shard, TimePoint Now) const -> ShardExport;

  /// Merges the records of a transfer; called at the home or the backup. The
  /// record with the newer version wins. Once every other member has sent a
  /// whole transfer and none was complete, the shard's history counts as lost.
  /// Returns false if the transfer belongs to another view or this host has no
  /// role in the shard.
  auto importShard(const ShardExport &Transfer, TimePoint Now) -> bool;

  /// Removes records whose retention time has passed, and treats shards with a
  /// lost history as complete again once the retention time has passed. Returns
  /// the shards with this host as home that became complete since the last
  /// call; the caller must export them to their backups.
  auto evictExpired(TimePoint Now) -> std::vector<std::uint32_t>;

  /// Returns the version of the last adopted view; 0 before the first one.
  auto viewVersion() const -> std::uint64_t;
  auto role(std::uint32_t Shard) const -> ShardRole;
  /// Returns whether this host knows every grant in the shard that may still
  /// matter.
  auto isComplete(std::uint32_t Shard) const -> bool;
  /// Returns the record of a key in any state; std::nullopt if there is none.
  auto findRecord(std::string_view Account, std::string_view Key,
                  TimePoint Now) const -> std::optional<KeyRecord>;
  auto recordCount() const -> std::size_t;

private:
  class Implementation;
  explicit KeyRegistry(std::unique_ptr<Implementation> Initial);

  std::unique_ptr<Implementation> Body;
};

} // namespace jayramp
