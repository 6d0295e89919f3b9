#pragma once

#include "Net/EventLoop.h"
#include "Scheduling/ShardScheduler.h"
#include "Shard/Ownership.h"
#include "Shard/ShardRows.h"
#include "Shard/ShardSettings.h"
#include "Store/RowStore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jayramp::shard {

/// The progress rows of a shard that lie in one partition of the store. They
/// are written one transaction at a time, each on condition that the partition
/// is still claimed by this owner.
class JournalPartition : public std::enable_shared_from_this<JournalPartition> {
public:
  struct Context {
    net::EventLoop &Loop;
    store::RowStore &Store;
    const scheduling::ShardScheduler &Scheduler;
    const ShardSettings &Settings;
    ShardRows Rows;
    Ownership CurrentOwnership;
    std::function<void()> OnCommitted;
    std::function<void()> OnAvailabilityChanged;
    /// Another host owns the shard, or a row is not as this process left it.
    std::function<void(const char *Reason)> OnLost;
  };
  using OnOpened = std::function<void(std::vector<store::Row>)>;

  JournalPartition(const Context &SharedContext, std::string Name);

  /// Claims the partition, so that earlier owners can't write to it any more,
  /// and reads its progress rows. Repeated until it succeeds.
  auto open(OnOpened Done) -> void;
  /// The job's row has this version in the store; 0: there is none.
  auto setRowVersion(const std::string &Job, std::uint64_t Version) -> void;
  /// \p Change numbers the change; numbers rise over all partitions.
  auto markChanged(const std::string &Job, std::uint64_t Change) -> void;
  /// Gives up jobs that have no row here and never will without a new change.
  auto releaseUnwrittenJobs() -> std::vector<std::string>;
  /// Removes the job's row with a later write.
  auto removeRow(const std::string &Job) -> void;
  /// Starts a write if there is something to write and none is under way.
  auto flush() -> void;
  /// Makes sure that the claim is confirmed by a write now and then.
  auto confirmClaim() -> void;
  auto close() -> void;

  /// Number of the job's latest change.
  auto latestChange(const std::string &Job) const -> std::uint64_t;
  auto isDurable(const std::string &Job, std::uint64_t Change) const -> bool;
  /// False while the store fails to serve this partition.
  auto isAvailable() const -> bool {
    return Failures < UnavailableAfterFailures;
  }
  /// When the last write that succeeded was sent, on the clock that counts
  /// suspended time.
  auto lastConfirmedAt() const -> Milliseconds { return LastConfirmedAt; }

private:
  struct JobRow {
    std::uint64_t Version = 0;
    std::uint64_t LatestChange = 0;
    std::uint64_t InFlightChange =
        0; ///< Change that the write under way holds.
    std::uint64_t DurableChange = 0;
    bool Queued = false;
  };

  static constexpr unsigned UnavailableAfterFailures = 2;

  auto claim(std::uint64_t Version) -> void;
  auto onClaim(const store::Committed &Outcome) -> void;
  auto onClaim(const store::Conflicted &Outcome) -> void;
  auto onClaim(const store::StoreRefused &Outcome) -> void;
  auto onClaim(const store::StoreUnanswered &Outcome) -> void;
  auto retryClaim(unsigned Weight, const std::string &Reason) -> void;
  auto readRows(std::string From) -> void;
  auto prepareWrite() -> bool;
  auto send() -> void;
  auto onOutcome(const store::Committed &Outcome) -> void;
  auto onOutcome(const store::Conflicted &Outcome) -> void;
  auto onOutcome(const store::StoreRefused &Outcome) -> void;
  auto onOutcome(const store::StoreUnanswered &Outcome) -> void;
  auto recordFailure(unsigned Weight, const std::string &Reason) -> void;
  /// Puts the write that was refused back into the queue.
  auto requeueRefusedWrite() -> void;
  auto onWriteApplied(std::uint64_t Version) -> void;

  const Context &SharedContext;
  std::string Name;
  OnOpened OpenDone;
  std::vector<store::Row> RowsRead;
  std::uint64_t AttemptedClaimVersion =
      0; ///< Of the claim row, in the last attempt.
  std::uint64_t ClaimVersion = 0;
  bool Claimed = false;
  std::map<std::string, JobRow> JobRows;
  std::deque<std::string> Queue; ///< Jobs with changes, oldest change first.
  std::vector<std::string> Removals; ///< Jobs.
  store::RowTransaction InFlightWrite;
  std::vector<std::string> InFlightJobs;
  bool InFlightMayBeApplied = false; ///< An attempt was not answered.
  bool ConfirmationDue = false;
  bool WriteInProgress = false;
  bool Closed = false;
  unsigned Failures = 0;
  std::uint64_t Confirmations = 0;
  Milliseconds SentAt{0};
  Milliseconds LastConfirmedAt{0};
  net::EventLoop::TimerHandle Retry;
};

} // namespace jayramp::shard
