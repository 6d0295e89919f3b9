#pragma once

#include "Net/EventLoop.h"
#include "Shard/DelayReportTimer.h"
#include "Shard/Ownership.h"
#include "Shard/ShardRows.h"
#include "Shard/ShardSettings.h"
#include "Store/RowStore.h"
#include "Store/TableFollower.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace jayramp::shard {

/// Follows the ownership of a shard and takes the shard over when its owner
/// fails. A host becomes the owner only by a conditional write of the owner row
/// that increases the fencing token.
class OwnerElection {
public:
  /// Properties of this host that decide when it takes the shard over.
  struct Candidate {
    std::string Host;
    std::string Incarnation;  ///< Unique for each start of the process.
    Milliseconds Delay{0};    ///< Added before takeovers to stagger the hosts.
    bool LowCapacity = false; ///< Other hosts have more CPU capacity.
    /// Returns how many hosts are better suited to own the shard. May be empty,
    /// which means none.
    std::function<std::size_t()> ReadRank = nullptr;
  };

  OwnerElection(net::EventLoop &Loop, store::RowStore &Store, std::string Shard,
                const ShardSettings &Settings, Candidate Self,
                std::function<void(Ownership)> OnElected);
  ~OwnerElection();
  OwnerElection(const OwnerElection &) = delete;
  auto operator=(const OwnerElection &) -> OwnerElection & = delete;

  auto start() -> void;
  /// Records that this process no longer acts as the owner.
  auto onOwnershipLost() -> void;
  /// Releases the shard if this process owns it, stops taking it over, and
  /// calls \p Done once the release was written or has failed.
  auto resign(std::function<void()> Done) -> void;

  /// Releases the shard, which this process owns, to another host. This process
  /// remains a candidate, but lets other hosts go first.
  auto release() -> void;

  /// Returns the name of the host that owns the shard according to the latest
  /// owner row seen; empty if none is known.
  auto ownerHost() const -> std::string;
  /// Returns the number of waiting jobs of a queue from the owner's latest
  /// heartbeat, or nothing if that is not recent enough.
  auto recentWaitingCount(const std::string &Queue) const
      -> std::optional<std::size_t>;
  /// Returns whether the shard may have waiting jobs of a queue although no
  /// recent count is known: the latest count had some, or none is known.
  auto mayHaveWaitingJobs(const std::string &Queue) const -> bool;
  /// Returns how long the shard has had no jobs, according to its owner's
  /// recent heartbeats; zero if it has some or that is not known.
  auto timeWithoutJobs() const -> Clock::duration;
  /// Receives the heartbeat rows of other shards.
  using HeartbeatListener = std::function<void(const store::Row &)>;
  auto setOtherShardListener(HeartbeatListener Next) -> void {
    OnOtherHeartbeat = std::move(Next);
  }
  /// Returns the forecast in the owner's latest heartbeat, or nothing if that
  /// is not recent enough or has none.
  auto recentForecast() const -> std::optional<AdmissionForecast>;

private:
  auto onHeartbeat(const store::Row &Row, bool IsUpdate) -> void;
  /// \p IsUpdate is true if the rows have just changed, false if they were read
  /// as a snapshot and may be old.
  auto onRows(const std::vector<store::Row> &Changed, bool IsUpdate) -> void;
  auto tick() -> void;
  /// Follows the owner's rows as closely as the rank of this host requires.
  auto adaptToRank() -> void;
  /// Returns the delay of this host's takeovers.
  auto takeoverDelay() const -> Milliseconds;
  auto isVacant() const -> bool;
  auto mayTakeOver() const -> bool;
  /// Returns the time without owner activity after which a takeover is allowed.
  auto takeoverTimeout() const -> Milliseconds;
  /// Logs what prevents a takeover from an owner that has been silent for long.
  auto reportTakeoverDelay() -> void;
  auto takeoverDelayReason() const -> std::string;
  auto recordOwnerActivity() -> void;
  auto recordOwnerChange() -> void;
  auto onStoreFailure() -> void;
  /// Called when the change feed of the ownership table works again.
  auto onFeedRestored() -> void;
  /// Restarts the takeover timeout.
  auto restartTakeoverTimeout() -> void;
  auto delayNextAttempt() -> void;
  auto attemptTakeover() -> void;
  /// Releases the shard if an earlier process of this host owned it.
  auto releaseOwnershipOfEarlierProcess() -> void;
  /// Marks the owner row as released if its version is still the known one.
  auto writeRelease(std::function<void()> Done) -> void;
  auto onOutcome(store::TransactionCommitted &Outcome) -> void;
  auto onOutcome(store::TransactionConflict &Outcome) -> void;
  auto onOutcome(store::StoreRefusal &Outcome) -> void;
  auto onOutcome(store::StoreNoAnswer &Outcome) -> void;
  auto becomeOwner() -> void;
  auto isThisProcess(const OwnerRecord &Owner) const -> bool;

  net::EventLoop &Loop;
  store::RowStore &Store;
  std::string Shard;
  ShardRows Rows;
  const ShardSettings &Settings;
  Candidate Self;
  std::function<void(Ownership)> OnElected;
  std::unique_ptr<store::TableFollower> Follower;
  std::optional<OwnerRecord> Owner;
  std::uint64_t OwnerVersion = 0;
  OwnerRecord AttemptedOwner; ///< Written by the takeover in progress.
  std::uint64_t RelinquishedVersion = 0; ///< Owner row version of the ownership
                                         ///< that this process lost.
  std::uint64_t HeartbeatVersion = 0;
  std::optional<std::map<std::string, std::uint64_t>>
      WaitingCounts; ///< By queue.
  TimePoint WaitingCountsReceivedAt;
  /// Queues with waiting jobs in the latest counts, which may be old.
  std::optional<std::set<std::string>> ListedQueues;
  /// Start of the present time without jobs, if the latest counts had none.
  std::optional<TimePoint> WithoutJobsSince;
  HeartbeatListener OnOtherHeartbeat;
  std::optional<AdmissionForecast> Forecast; ///< Received with the counts.
  /// When the owner's rows last changed, or a later time from which the
  /// takeover timeout counts.
  TimePoint LastOwnerActivity;
  TimePoint OwnerHeardAt; ///< When the owner's rows last changed.
  DelayReportTimer DelayReports;
  std::deque<TimePoint> OwnerChanges; ///< Recent ones, oldest first.
  bool HeartbeatSeen = false; ///< The current owner has sent a heartbeat.
  TimePoint NextAttempt;
  TimePoint NextRankCheck;
  bool IsNearCandidate = true; ///< Among the first to take the shard over.
  bool OwnerRowsRead = false;
  bool FeedInterrupted = false; ///< The change feed does not work at present.
  bool AttemptInProgress = false;
  bool IsOwner = false;
  bool Resigned = false;
  /// Copied into callbacks; the destructor sets it to false, so that later
  /// callbacks have no effect.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  net::EventLoop::TimerHandle TickTimer;
};

} // namespace jayramp::shard
