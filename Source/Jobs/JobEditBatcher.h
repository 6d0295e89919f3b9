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

/// Result of one edit.
struct JobEditResult {
  enum class WriteStatus {
    Written,    ///< Row is the new row.
    Unchanged,  ///< The edit asked for no write; Row is the current row.
    NotWritten, ///< The store did not take the write.
    Unknown,    ///< The write may or may not take effect.
  };

  WriteStatus Status = WriteStatus::NotWritten;
  std::optional<JobRow> Row;
  std::optional<Error> Failure;
};

/// Writes job rows on behalf of callers. Edits that arrive together share a
/// transaction, so that a wave of thousands stays within the store's budget.
/// Safe to call from any thread.
class JobEditBatcher {
public:
  /// The row to write for the current row; nothing if none is to be written.
  /// Called again if another writer was faster.
  using Edit =
      std::function<std::optional<JobRow>(const std::optional<JobRow> &)>;
  using Done = std::function<void(JobEditResult)>;

  /// The references must outlive the batch. \p Patience: how long a write is
  /// repeated.
  JobEditBatcher(JobStore &Store, Metrics &Counters,
                 Milliseconds Patience = Milliseconds(2500));
  /// Edits that wait end as NotWritten.
  ~JobEditBatcher();
  JobEditBatcher(const JobEditBatcher &) = delete;
  auto operator=(const JobEditBatcher &) -> JobEditBatcher & = delete;

  /// Never blocks; \p Then is called exactly once, on a thread of the batch.
  auto add(std::string Id, Edit Change, Done Then) -> void;

private:
  class Implementation;

  std::unique_ptr<Implementation> Body;
};

} // namespace jayramp
