#pragma once

#include "Base/Clock.h"
#include "Base/Error.h"
#include "Jobs/JobRow.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jayramp {

class JobStore;
class Metrics;

/// Result of one edit of a job row.
struct JobEditResult {
  enum class WriteStatus {
    Written,    ///< The row was written; Row is the new row.
    Unchanged,  ///< The edit needed no write; Row is the current row.
    NotWritten, ///< The row was not written; Failure says why.
    Unknown,    ///< The write may have taken effect; Failure says why.
  };

  WriteStatus Status = WriteStatus::NotWritten;
  std::optional<JobRow> Row;
  std::optional<Error> Failure;
};

/// Applies edits of clients to job rows. Edits that arrive at about the same
/// time share a transaction, so that a burst of thousands of submissions stays
/// within the write budget of the store. Thread-safe.
class JobEditBatcher {
public:
  /// Returns the row to write in place of the current one, or nothing if no
  /// write is needed. Called again after a conflict with another writer.
  using EditFunction =
      std::function<std::optional<JobRow>(const std::optional<JobRow> &)>;
  using DoneCallback = std::function<void(JobEditResult)>;

  /// The references must outlive the batcher. \p WriteTimeout is the time
  /// during which a failed write is repeated.
  JobEditBatcher(JobStore &Store, Metrics &Counters,
                 Milliseconds WriteTimeout = Milliseconds(2500));
  /// Completes edits that are still queued as NotWritten.
  ~JobEditBatcher();
  JobEditBatcher(const JobEditBatcher &) = delete;
  auto operator=(const JobEditBatcher &) -> JobEditBatcher & = delete;

  /// Queues an edit of the row \p Id without blocking. \p OnDone is called
  /// exactly once, on the thread of the batcher. Failures have the kind
  /// Unavailable if the store or this host is unavailable, Timeout if the store
  /// did not reply, Conflict if other writers changed the row each time.
  auto add(std::string Id, EditFunction Edit, DoneCallback OnDone) -> void;

private:
  class Implementation;

  std::unique_ptr<Implementation> Impl;
};

} // namespace jayramp
