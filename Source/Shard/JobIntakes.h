#pragma once

#include "Scheduling/JobSpec.h"
#include "Store/RowStore.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jayramp::shard {

/// Knows which rows of the intake partitions belong to each job, and which jobs
/// belong to one shard.
///
/// A caller's repeated request may be stored in a second partition, also for
/// another service if the job's queue was sent there in between. The job then
/// belongs to the service that the row stored first names, so rows are recorded
/// in the order of their versions.
class JobIntakes {
public:
  explicit JobIntakes(std::string Service) : Service(std::move(Service)) {}

  /// Records a job row that was not recorded before. Returns whether the job
  /// belongs to this shard.
  auto recordJob(const store::Row &Stored, const scheduling::JobSpec &Spec)
      -> bool;
  /// Records that the cancel row of a job of this shard is in this partition.
  auto recordCancel(const std::string &Job, const std::string &Partition)
      -> void;
  /// Records that a row was removed from the store.
  auto recordRemoval(const store::RowKey &Removed) -> void;
  /// Returns whether this job row has been recorded. That is also true for a
  /// row of a forgotten job that the store may still have, but not for one that
  /// was stored under the same key later.
  auto isRecorded(const store::Row &JobRow) const -> bool;
  /// Forgets the rows that only the change feed would tell to be removed,
  /// before all rows of the store are recorded anew.
  auto startSnapshot(const std::vector<store::Row> &All) -> void;

  /// Returns the keys of the waiting rows that may exist of a job of this
  /// shard.
  auto waitingKeys(const std::string &Job) const -> std::vector<store::RowKey>;

  /// The rows of a job of this shard that are to be removed. While another row
  /// of the job is left, the first one must be there too: it tells whose job it
  /// is.
  struct ObsoleteRows {
    std::vector<std::vector<store::RowKey>>
        Others;                       ///< To be removed first, by partition.
    std::vector<store::RowKey> First; ///< To be removed last.
  };
  /// Forgets a job of this shard, and returns its rows.
  auto extract(const std::string &Job) -> ObsoleteRows;

private:
  struct JobRow {
    std::string Queue;
    std::uint64_t Version = 0;
  };
  struct Entry {
    std::string Service;                   ///< Named by the first row.
    std::string Partition;                 ///< Of the first row.
    std::map<std::string, JobRow> JobRows; ///< By partition.
    std::set<std::string> CancelPartitions;
  };

  auto ownEntry(const std::string &Job) const -> const Entry *;

  std::string Service;
  std::map<std::string, Entry> Entries; ///< By job.
  /// Versions of the job rows of forgotten jobs until their removal is seen.
  std::map<store::RowKey, std::uint64_t> Obsolete;
};

} // namespace jayramp::shard
