#pragma once

#include "Shard/JournalPartition.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jayramp::shard {

/// A change of a job's progress that has to be durable before something else
/// may happen.
struct ProgressChange {
  std::string Job; ///< Empty: nothing to wait for.
  std::uint64_t Number = 0;
};

/// The durable progress of a shard's jobs, spread over several partitions. A
/// job's row stays in the partition that its first write went to, which is one
/// that the store serves at that time.
class ProgressJournal {
public:
  struct RecoveredRow {
    store::Row Row;
    std::size_t Partition = 0;
  };
  using RecoveredRows = std::map<std::string, RecoveredRow>; ///< By job.

  ProgressJournal(scheduling::ShardScheduler &Scheduler,
                  JournalPartition::Context SharedContext);

  /// Claims and reads all partitions. \p Done is called once.
  auto open(std::function<void(RecoveredRows)> Done) -> void;
  /// The job has this row.
  auto restoreRow(const std::string &Job, const RecoveredRow &Found) -> void;
  /// Writes what has changed in the scheduler.
  auto flush() -> void;
  auto confirmClaims() -> void;
  /// Removes the progress row of a job with a later write.
  auto remove(const std::string &Job) -> void;
  auto close() -> void;

  /// The latest change of the job.
  auto latestChange(const std::string &Job) -> ProgressChange;
  auto isDurable(const ProgressChange &Change) const -> bool;
  /// False while changes of the job can't be written although those of others
  /// can.
  auto isWritable(const std::string &Job) const -> bool;
  auto lastConfirmedAt() const -> Milliseconds;

private:
  /// Lets jobs that were never written move to partitions that are served.
  auto onAvailabilityChanged() -> void;
  auto collectChangedJobs() -> void;
  auto assignPartition(const std::string &Job) -> std::size_t;

  scheduling::ShardScheduler &Scheduler;
  JournalPartition::Context SharedContext;
  std::function<void()> OnChanged; ///< The availability of a partition changed.
  std::vector<std::shared_ptr<JournalPartition>> Partitions;
  std::map<std::string, std::size_t> PartitionOfJob; ///< Partition by job.
  RecoveredRows RowsFound;
  std::size_t PartitionsToOpen = 0;
  std::uint64_t Changes = 0;
};

} // namespace jayramp::shard
