#pragma once

#include "Net/EventLoop.h"
#include "Scheduling/ShardScheduler.h"
#include "Shard/Ownership.h"
#include "Shard/ShardRows.h"
#include "Shard/ShardSettings.h"
#include "Store/PagedRead.h"
#include "Store/RowStore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jayramp::shard {

/// Writes and reads the progress rows of a shard that are stored in one
/// partition. At most one transaction is in flight, and each is conditional on
/// this owner's claim on the partition.
class JournalPartition : public std::enable_shared_from_this<JournalPartition> {
public:
  struct Context {
    net::EventLoop &Loop;
    store::RowStore &Store;
    const scheduling::ShardScheduler &Scheduler;
    const ShardSettings &Settings;
    ShardRows Rows;
    Ownership CurrentOwnership;
    /// Called after each successful write, with the jobs that it contained.
    std::function<void(const std::vector<std::string> &Jobs)> OnCommitted;
    /// Called when isAvailable() has changed.
    std::function<void()> OnAvailabilityChanged;
    /// Called if another host owns the shard, or if a row differs from what
    /// this process wrote.
    std::function<void(const char *Reason)> OnLost;
  };
  using OnOpened = std::function<void(std::vector<store::Row>)>;

  JournalPartition(const Context &SharedContext, std::string Name);

  /// Claims the partition, which prevents further writes of earlier owners, and
  /// then reads its progress rows. Retries until both succeed.
  auto open(OnOpened Done) -> void;
  /// Sets the version that the job's row has in the store; 0 means no row.
  auto setRowVersion(const std::string &Job, std::uint64_t Version) -> void;
  /// Queues the job's progress for writing. \p Change numbers the change;
  /// numbers increase across all partitions of the journal.
  auto markChanged(const std::string &Job, std::uint64_t Change) -> void;
  /// Drops the queued jobs that have no row in this partition and no write in
  /// flight, and returns their ids.
  auto releaseUnwrittenJobs() -> std::vector<std::string>;
  /// Removes the job's row with one of the next writes.
  auto removeRow(const std::string &Job) -> void;
  /// Sends a write if changes are queued and no write is in flight. Changes of
  /// less urgent jobs may wait for a short time, so that writes contain more of
  /// them.
  auto flush() -> void;
  /// Sends a write that confirms the claim if none has done so recently.
  auto confirmClaim() -> void;
  auto close() -> void;

  /// Returns the number of the job's latest change; 0 if the job is unknown.
  auto latestChange(const std::string &Job) const -> std::uint64_t;
  /// Returns true if the change is stored, or if the job is unknown.
  auto isDurable(const std::string &Job, std::uint64_t Change) const -> bool;
  auto name() const -> const std::string & { return Name; }
  auto isClaimed() const -> bool { return Claimed; }
  /// Returns true once the partition is claimed and its rows have been read.
  auto isOpen() const -> bool { return Claimed && !OpenDone; }
  /// Returns false while the store fails to serve this partition.
  auto isAvailable() const -> bool {
    return Failures < UnavailableAfterFailures;
  }
  /// Returns the time at which the last successful write was sent, on the clock
  /// of suspendAwareNow().
  auto lastConfirmedAt() const -> Milliseconds { return LastConfirmedAt; }

private:
  struct JobRow {
    std::uint64_t Version = 0;
    std::uint64_t LatestChange = 0;
    std::uint64_t InFlightChange = 0; ///< Part of the write in flight.
    std::uint64_t DurableChange = 0;
    bool Queued = false;
  };

  static constexpr unsigned UnavailableAfterFailures = 2;

  auto claim(std::uint64_t Version) -> void;
  auto onClaim(const store::TransactionCommitted &Outcome) -> void;
  auto onClaim(const store::TransactionConflict &Outcome) -> void;
  auto onClaim(const store::StoreRefusal &Outcome) -> void;
  auto onClaim(const store::StoreNoAnswer &Outcome) -> void;
  auto retryClaim(unsigned Weight, const std::string &Reason) -> void;
  auto readRows() -> void;
  /// Returns whether the queued changes should wait for further ones.
  auto shouldWaitForMore() -> bool;
  auto prepareWrite() -> bool;
  auto send() -> void;
  auto onOutcome(const store::TransactionCommitted &Outcome) -> void;
  auto onOutcome(const store::TransactionConflict &Outcome) -> void;
  auto onOutcome(const store::StoreRefusal &Outcome) -> void;
  auto onOutcome(const store::StoreNoAnswer &Outcome) -> void;
  auto recordFailure(unsigned Weight, const std::string &Reason) -> void;
  /// Puts the changes of a refused write back into the queue.
  auto requeueRefusedWrite() -> void;
  auto onWriteApplied(std::uint64_t Version) -> void;

  const Context &SharedContext;
  std::string Name;
  OnOpened OpenDone;
  std::unique_ptr<store::PagedRead> Reading; ///< Of the progress rows.
  std::uint64_t AttemptedClaimVersion = 0;   ///< Expected version of the claim
                                             ///< row in the last attempt.
  std::uint64_t ClaimVersion = 0;
  bool Claimed = false;
  std::map<std::string, JobRow> JobRows;
  std::deque<std::string> Queue;     ///< Changed jobs, oldest change first.
  std::vector<std::string> Removals; ///< Jobs whose rows are to be removed.
  store::RowTransaction InFlightWrite;
  std::vector<std::string> InFlightJobs;
  bool InFlightMayBeApplied = false; ///< An attempt to send it timed out.
  bool UrgentQueued = false;         ///< The queue contains a most urgent job.
  bool ConfirmationDue = false;
  bool WriteInProgress = false;
  bool Closed = false;
  unsigned Failures = 0;
  std::uint64_t Confirmations = 0;
  Milliseconds SentAt{0};
  Milliseconds LastConfirmedAt{0};
  TimePoint WriteStartedAt; ///< Of the last write that contained jobs.
  net::EventLoop::TimerHandle Retry;
  net::EventLoop::TimerHandle BatchTimer;
};

} // namespace jayramp::shard
