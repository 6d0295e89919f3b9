#pragma once

#include "Net/EventLoop.h"
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
#include <string>

namespace jayramp::shard {

/// Watches who owns a shard and takes it when its owner is gone. Only a
/// conditional write of the owner row, which raises the fencing token, makes an
/// owner.
class OwnerElection {
public:
  struct Candidate {
    std::string Host;
    std::string Incarnation;  ///< Differs for each start of the process.
    Milliseconds Delay{0};    ///< Spreads attempts of several hosts.
    bool LowCapacity = false; ///< Others have more of a processor.
  };

  OwnerElection(net::EventLoop &Loop, store::RowStore &Store, std::string Shard,
                const ShardSettings &Settings, Candidate Self,
                std::function<void(Ownership)> OnElected);
  ~OwnerElection();
  OwnerElection(const OwnerElection &) = delete;
  auto operator=(const OwnerElection &) -> OwnerElection & = delete;

  auto start() -> void;
  /// This process does not act as the owner any more.
  auto onOwnershipLost() -> void;
  /// Gives the shard up if held, takes no other, and calls \p Done.
  auto resign(std::function<void()> Done) -> void;

  /// Name of the host that owns the shard, as far as is known; may be empty.
  auto ownerHost() const -> std::string;
  /// WaitingCounts jobs of a queue as the owner has told a moment ago; absent
  /// if there is no recent word of it.
  auto recentWaitingCount(const std::string &Queue) const
      -> std::optional<std::size_t>;

private:
  auto onHeartbeat(const store::Row &Row, bool IsUpdate) -> void;
  /// \p IsUpdate: the rows have just changed.
  auto onRows(const std::vector<store::Row> &Changed, bool IsUpdate) -> void;
  auto tick() -> void;
  auto isVacant() const -> bool;
  auto mayTakeOver() const -> bool;
  /// Silence of the owner that allows a takeover.
  auto takeoverTimeout() const -> Milliseconds;
  auto recordOwnerChange() -> void;
  auto onStoreFailure() -> void;
  /// The store's answers tell again whether the owner is alive.
  auto onFeedRestored() -> void;
  /// Counts the owner's silence anew.
  auto restartSilenceTimer() -> void;
  auto delayNextAttempt() -> void;
  auto attemptTakeover() -> void;
  /// Declares the shard vacant that an earlier process of this host had.
  auto releaseOwnershipOfEarlierProcess() -> void;
  /// Marks the owner row as released, if it is as this host knows it.
  auto writeRelease(std::function<void()> Done) -> void;
  auto onOutcome(store::Committed &Outcome) -> void;
  auto onOutcome(store::Conflicted &Outcome) -> void;
  auto onOutcome(store::StoreRefused &Outcome) -> void;
  auto onOutcome(store::StoreUnanswered &Outcome) -> void;
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
  OwnerRecord Attempted;
  std::uint64_t RelinquishedVersion = 0; ///< Ownership that this process left.
  std::uint64_t HeartbeatVersion = 0;
  std::optional<std::map<std::string, std::uint64_t>>
      WaitingCounts;                  ///< By queue.
  TimePoint WaitingCountsReceivedAt;  ///< When the owner's counts arrived.
  TimePoint LastOwnerActivity;        ///< The owner's rows last changed.
  std::deque<TimePoint> OwnerChanges; ///< Recent ones, oldest first.
  bool HeartbeatSeen = false; ///< The present owner has sent a heartbeat.
  TimePoint NextAttempt;
  bool OwnerRowsRead = false;
  bool FeedInterrupted =
      false; ///< The store does not tell about the owner at present.
  bool AttemptInProgress = false;
  bool IsOwner = false;
  bool Resigned = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  net::EventLoop::TimerHandle Tick;
};

} // namespace jayramp::shard
