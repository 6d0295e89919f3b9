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

/// One shard of a KeyRegistry, which documents the commands.
///
/// Not synchronized: KeyRegistry holds the shard's mutex during every call.
class KeyShard {
public:
  using Incarnations = std::shared_ptr<const std::set<std::string>>;

  KeyShard(std::uint32_t Number, KeyRegistryLimits Limits,
           std::shared_ptr<RegistryUsage> Usage);

  auto claim(const KeyClaim &Claim, TimePoint Now) -> ClaimDecision;
  auto confirmReplication(std::uint64_t ViewVersion, const KeyRecord &Sent)
      -> ReplicationDecision;
  auto failReplication(std::uint64_t ViewVersion, const KeyRecord &Sent) const
      -> bool;
  auto storeReplica(std::uint64_t ViewVersion, const KeyRecord &Record,
                    TimePoint Now) -> ReplicaStoreResult;
  auto reportOutcome(const OutcomeReport &Report, TimePoint Now)
      -> ReportDecision;
  auto reassert(const KeyClaim &Claim, TimePoint Now) -> ClaimDecision;
  auto endClaimsOfLostHolders(const Incarnations &NewLive, TimePoint Now)
      -> std::vector<KeyRecord>;
  auto adoptView(std::uint64_t ViewVersion, ShardRole NewRole,
                 const Incarnations &Others, bool IsFirstView, TimePoint Now)
      -> void;
  auto importShard(const ShardExport &Transfer, TimePoint Now) -> bool;
  /// Returns whether the shard became complete here as home since the last
  /// call.
  auto evictExpired(TimePoint Now) -> bool;

  auto query(std::uint64_t ViewVersion, std::string_view Account,
             std::string_view Key, TimePoint Now) const
      -> std::optional<ClaimDecision>;
  auto exportShard(const std::string &Sender, TimePoint Now) const
      -> ShardExport;
  auto findRecord(std::string_view Account, std::string_view Key,
                  TimePoint Now) const -> std::optional<KeyRecord>;
  auto role() const -> ShardRole { return Role; }
  auto isComplete() const -> bool { return Complete; }

private:
  struct Held {
    KeyRecord Record;
    TimePoint ChangedAt;
    std::uint64_t ConfirmedView = 0; ///< View whose backup acknowledged it.
    bool FromReport = false;         ///< Ended by its holder's own report.
    /// Kept from an earlier role; a newer history that lacks it removes it.
    bool Stale = false;
  };
  using Records = std::unordered_map<std::string, Held>;

  /// Why no claim can be decided here now; nothing if one can.
  auto refusal(std::uint64_t ViewVersion) const -> std::optional<ClaimDecision>;
  auto nextVersion() -> RecordVersion;
  auto snapshot(const Held &Entry, TimePoint Now) const -> KeyRecord;
  auto put(const std::string &Index, KeyRecord Record, TimePoint ChangedAt)
      -> Held &;
  auto setOutcome(Held &Entry, std::string Outcome) -> void;
  auto erase(Records::iterator Position) -> Records::iterator;
  auto isFull() const -> bool;
  auto isLost(const KeyRecord &Record) const -> bool;
  auto merge(const KeyRecord &Incoming, TimePoint Now) -> bool;
  auto decideHistory(TimePoint Now) -> void;
  /// Notes, when a view is left, what this host knows of it.
  auto leaveView() -> void;
  /// Whether the history reaches up to the current view.
  auto reachesView() const -> bool;
  auto eraseStale() -> void;
  auto createRecord(const KeyClaim &Claim, KeyState State, TimePoint Now)
      -> ClaimDecision;

  std::uint32_t Number;
  KeyRegistryLimits Limits;
  std::shared_ptr<RegistryUsage> Usage;
  std::uint64_t View = 0;
  ShardRole Role = ShardRole::None;
  bool Complete = false;
  bool BecameComplete = false;
  std::optional<TimePoint> LostUntil;
  /// Every grant of the views up to this one is in Map. A new host has 0, which
  /// is true of an empty Map.
  std::uint64_t KnownThroughView = 0;
  /// Views that certainly had no grant in this shard.
  std::set<std::uint64_t> IdleViews;
  /// A command of the current view may have changed the shard.
  bool Touched = false;
  TimePoint AdoptedAt;
  Incarnations Others; ///< Members of the view without this host.
  Incarnations Live;   ///< Holders that may still report.
  std::set<std::string> IncompleteFrom;
  std::uint64_t Sequence = 0;
  Records Map;
};

} // namespace jayramp
