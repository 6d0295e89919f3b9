#pragma once

#include "Requests/ClaimDecision.h"
#include "Requests/KeyClaim.h"
#include "Requests/KeyRegistryLimits.h"
#include "Requests/OutcomeReport.h"
#include "Requests/RegistryUsage.h"
#include "Requests/ReplicationDecision.h"
#include "Requests/ShardExport.h"
#include "Requests/ShardRoles.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jayramp {

/// One shard of a KeyRegistry. Member functions without a comment are
/// documented at the function of the same name in KeyRegistry.
///
/// Not thread-safe: KeyRegistry holds the shard's mutex during every call.
class KeyShard {
public:
  /// Set of host incarnations, shared between the shards of a registry.
  using Incarnations = std::shared_ptr<const std::set<std::string>>;

  KeyShard(std::uint32_t ShardNumber, KeyRegistryLimits Limits,
           std::shared_ptr<RegistryUsage> Usage);

  auto claim(const KeyClaim &Claim, TimePoint Now) -> ClaimDecision;
  auto confirmReplication(std::uint64_t ViewVersion, const KeyRecord &Sent)
      -> ReplicationDecision;
  auto handleReplicationFailure(std::uint64_t ViewVersion,
                                const KeyRecord &Sent) const -> bool;
  auto storeReplica(std::uint64_t ViewVersion, const KeyRecord &Record,
                    TimePoint Now) -> ReplicaStoreResult;
  auto reportOutcome(const OutcomeReport &Report, TimePoint Now)
      -> ReportDecision;
  auto reassert(const KeyClaim &Claim, TimePoint Now) -> ClaimDecision;
  auto endClaimsOfLostHolders(const Incarnations &NewLiveHolders, TimePoint Now)
      -> std::vector<KeyRecord>;
  auto adoptView(std::uint64_t ViewVersion, ShardRole NewRole,
                 const Incarnations &OtherMembers, bool IsFirstView,
                 TimePoint Now) -> void;
  auto importShard(const ShardExport &Transfer, TimePoint Now) -> bool;
  /// Returns whether the shard became complete, with this host as its home,
  /// since the last call.
  auto evictExpired(TimePoint Now) -> bool;

  auto query(std::uint64_t ViewVersion, std::string_view Account,
             std::string_view Key, TimePoint Now) const
      -> std::optional<ClaimDecision>;
  auto exportShard(const std::string &Sender, TimePoint Now) const
      -> ShardExport;
  auto findRecord(std::string_view Account, std::string_view Key,
                  TimePoint Now) const -> std::optional<KeyRecord>;
  auto role() const -> ShardRole { return Role; }
  auto isComplete() const -> bool { return HistoryComplete; }

private:
  struct RecordEntry {
    KeyRecord Record;
    TimePoint ChangedAt;
    /// Version of the view whose backup acknowledged the record; 0 if none.
    std::uint64_t BackupConfirmedView = 0;
    bool EndedByReport = false; ///< Ended by its holder's own report.
    /// The record was kept from an earlier role of this host in the shard. It
    /// is erased if a newer history arrives that does not contain it.
    bool FromEarlierRole = false;
  };
  using RecordMap = std::unordered_map<std::string, RecordEntry>;

  /// Returns why this host cannot decide on claims now; std::nullopt if it can.
  auto findRefusal(std::uint64_t ViewVersion) const
      -> std::optional<ClaimDecision>;
  /// Returns the version of the next write and advances the write sequence.
  auto nextVersion() -> RecordVersion;
  /// Returns the record with its age at \p Now.
  auto copyWithAge(const RecordEntry &Entry, TimePoint Now) const -> KeyRecord;
  /// Inserts or replaces a record and updates the registry's usage counters.
  auto storeRecord(const std::string &MapKey, KeyRecord Record,
                   TimePoint ChangedAt) -> RecordEntry &;
  /// Stores the outcome, or marks it as unknown if the byte limit is exceeded.
  auto setOutcome(RecordEntry &Entry, std::string Outcome) -> void;
  auto eraseRecord(RecordMap::iterator Position) -> RecordMap::iterator;
  auto isRegistryFull() const -> bool;
  auto isHolderLost(const KeyRecord &Record) const -> bool;
  /// Merges a record of another host. Returns false if the own record is newer.
  auto mergeRecord(const KeyRecord &Incoming, TimePoint Now) -> bool;
  /// Marks the history as lost for the retention time if every other member has
  /// reported that its copy of the shard is incomplete.
  auto detectLostHistory(TimePoint Now) -> void;
  /// Updates KnownThroughView and IdleViews before the next view is adopted.
  auto updateHistoryOfLeftView() -> void;
  /// Returns whether each earlier view is covered by KnownThroughView or idle.
  auto knowsAllEarlierViews() const -> bool;
  /// Erases all records that were kept from an earlier role.
  auto eraseStaleRecords() -> void;
  /// Stores a new record for the claim. Returns ReplicationNeeded, or
  /// ClaimRegistryFull if there is no room for it.
  auto createRecord(const KeyClaim &Claim, KeyState State, TimePoint Now)
      -> ClaimDecision;

  std::uint32_t ShardNumber;
  KeyRegistryLimits Limits;
  std::shared_ptr<RegistryUsage> Usage;
  std::uint64_t CurrentView = 0;
  ShardRole Role = ShardRole::None;
  /// This host knows all grants of the earlier views.
  bool HistoryComplete = false;
  bool HistoryBecameComplete = false;
  /// Set while the history counts as lost: new claims are refused until then.
  std::optional<TimePoint> HistoryLostUntil;
  /// Every grant of the views up to and including this one is in RecordsByKey;
  /// 0 on a new host, whose RecordsByKey is empty.
  std::uint64_t KnownThroughView = 0;
  /// Views in which certainly no key of this shard was granted or changed.
  std::set<std::uint64_t> IdleViews;
  /// True once a call in the current view may have changed the shard.
  bool MayHaveChanged = false;
  TimePoint ViewAdoptedAt;
  Incarnations OtherMembers; ///< Members of the view without this host.
  Incarnations LiveHolders;  ///< Holders that may still report an outcome.
  /// Members whose transfer in the current view was marked as incomplete.
  std::set<std::string> IncompleteSenders;
  std::uint64_t LastSequence = 0;
  RecordMap RecordsByKey;
};

} // namespace jayramp
