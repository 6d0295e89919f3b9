#pragma once

#include "Shard/JournalPartition.h"
#include "Shard/JournalRecovery.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jayramp::shard {

/// Identifies a change of a job's progress, so that an action can wait until
/// the change is durable.
struct ProgressChange {
  std::string Job; ///< Empty if there is nothing to wait for.
  std::uint64_t Number = 0;
};

/// Stores the progress of a shard's jobs in several partitions. A job's first
/// write goes to a partition that the store serves at that time, and the job's
/// row stays there.
class ProgressJournal {
public:
  struct RecoveredRow {
    store::Row Row;
    std::size_t Partition = 0;
  };
  using RecoveredRows = std::map<std::string, RecoveredRow>; ///< By job.

  ProgressJournal(scheduling::ShardScheduler &Scheduler,
                  JournalPartition::Context SharedContext);

  /// Claims and reads all partitions, then calls \p Done once.
  auto open(std::function<void(RecoveredRows)> Done) -> void;
  /// Registers the row that was found for a job, so that later writes replace
  /// it.
  auto restoreRow(const std::string &Job, const RecoveredRow &Found) -> void;
  /// Writes the jobs that have changed in the scheduler.
  auto flush() -> void;
  /// Confirms the claim on each partition that had no successful write
  /// recently.
  auto confirmClaims() -> void;
  /// Removes the progress row of a job with one of the next writes.
  auto remove(const std::string &Job) -> void;
  auto close() -> void;

  /// Returns the latest change of the job.
  auto latestChange(const std::string &Job) -> ProgressChange;
  /// Returns true if the change is stored, or if the job has no partition.
  auto isDurable(const ProgressChange &Change) const -> bool;
  /// Returns false while the store serves other partitions but not the job's.
  auto isWritable(const std::string &Job) const -> bool;
  /// Returns the partitions that open() still has to claim or to read.
  auto recovery() const -> JournalRecovery;
  /// Returns the latest lastConfirmedAt() of all partitions.
  auto lastConfirmedAt() const -> Milliseconds;

private:
  /// Moves jobs without a row to partitions that the store serves.
  auto onAvailabilityChanged() -> void;
  auto collectChangedJobs() -> void;
  /// Returns the index of the job's partition and assigns one if it has none.
  auto assignPartition(const std::string &Job) -> std::size_t;

  scheduling::ShardScheduler &Scheduler;
  JournalPartition::Context SharedContext;
  std::function<void()> OnChanged; ///< Called when the availability of a
                                   ///< partition has changed.
  std::vector<std::shared_ptr<JournalPartition>> Partitions;
  std::map<std::string, std::size_t> PartitionOfJob; ///< Index by job id.
  RecoveredRows RowsFound;
  std::size_t PartitionsToOpen = 0;
  std::uint64_t Changes = 0;
};

} // namespace jayramp::shard
