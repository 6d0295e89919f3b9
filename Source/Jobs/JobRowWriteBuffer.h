#pragma once

#include "Base/Clock.h"
#include "Jobs/JobRow.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jayramp {

/// Write buffer for the rows of jobs that have not ended. Holds the desired row
/// and the last known stored row of each job. Changed rows are combined into
/// batches, one batch in flight at a time, so that they become durable in the
/// order in which they were changed. The caller writes the batches. Not
/// thread-safe.
class JobRowWriteBuffer {
public:
  /// The rows of one transaction.
  struct Batch {
    std::string WriteId;
    std::vector<JobRow> Rows;
    std::uint64_t ViewVersion = 0; ///< View that must be current.
  };

  /// Maximum number of rows in one transaction.
  static constexpr std::size_t MaxBatchRows = 64;

  /// Records that \p Stored is the row in the store; adds the job if it is
  /// unknown.
  auto adopt(const JobRow &Stored) -> void;
  auto clear() -> void;
  /// Returns the desired row, or nullptr if the job is unknown.
  auto find(const std::string &Id) const -> const JobRow *;
  auto ids() const -> std::vector<std::string>;
  /// Changes the desired row; has no effect if the job is unknown.
  auto change(const std::string &Id, const std::function<void(JobRow &)> &Edit)
      -> void;
  /// True if the stored row has this state and attempt.
  auto isStored(const std::string &Id, JobRowState State,
                std::uint32_t Attempt) const -> bool;
  /// True if the row is part of the batch in flight.
  auto isInFlight(const std::string &Id) const -> bool;
  /// Returns the version of the stored row; 0 if the job is unknown.
  auto storedVersion(const std::string &Id) const -> std::uint64_t;

  /// Returns the next batch, without rows if one is in flight or nothing has
  /// changed. The caller must repeat the same batch until its result is known.
  auto nextBatch(std::uint64_t ViewVersion) -> Batch;
  /// Records that the batch in flight was written, with the new version of each
  /// row.
  auto batchWritten(const std::vector<std::uint64_t> &Versions) -> void;
  /// Records that the batch in flight had no effect and queues its rows again.
  auto batchRejected() -> void;
  /// Removes a job whose stored row is final.
  auto remove(const std::string &Id) -> void;

private:
  struct Entry {
    JobRow DesiredRow;
    JobRow StoredRow;
    bool IsQueued = false;
  };

  auto enqueue(const std::string &Id, Entry &Row) -> void;

  std::map<std::string, Entry> Rows;
  std::deque<std::string> ChangeQueue; ///< Ids, oldest change first.
  Batch BatchInFlight;
};

} // namespace jayramp
