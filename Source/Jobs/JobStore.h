#pragma once

#include "Base/Result.h"
#include "Jobs/JobRow.h"
#include "Jobs/WorkerDescription.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jayramp {

class ObjectStore;
class TableService;

/// The rows were written.
struct JobWriteSuccess {
  std::vector<std::uint64_t> Versions; ///< One for each row.
};

/// Nothing was written.
struct JobWriteConflict {
  std::vector<JobRow> Current; ///< Rows that others have changed.
  /// The view is not the one that the writer acts under.
  bool ViewChanged = false;
};

using JobWriteResult = std::variant<JobWriteSuccess, JobWriteConflict>;

/// Job rows in the table service, with a copy in memory that refresh() brings
/// up to date. Calls that reach the store block. Safe to call from any thread.
class JobStore {
public:
  /// Larger payloads go to the object store.
  static constexpr std::size_t InlinePayloadLimit = 16 * 1024;

  /// The references must outlive the store.
  JobStore(TableService &Tables, ObjectStore &Objects);

  /// Id of the job that an account submits under a key.
  static auto jobId(const std::string &Account, const std::string &Key)
      -> std::string;

  /// Stores the payload in the row or, if large, in the object store.
  auto storePayload(JobRow &Job, std::string Payload) -> Result<void>;

  /// Reads the rows that changed since the last call.
  auto refresh() -> Result<void>;
  /// All rows as of the last refresh; final ones without payloads.
  auto cachedRows() const -> std::vector<JobRow>;
  /// Rows that a refresh changed after \p Cursor, which is moved; from 0.
  auto rowsChangedSince(std::uint64_t &Cursor) const -> std::vector<JobRow>;
  /// The row as of the last refresh.
  auto cachedRow(const std::string &Id) const -> std::optional<JobRow>;
  auto read(const std::string &Id) -> Result<std::optional<JobRow>>;

  /// Writes the rows together. Each row's Version is the version that it
  /// replaces. \p ViewVersion: version that the row `membership/view` must
  /// have, 0 for none. A repeat with the same \p WriteId is safe. Errors:
  /// Unavailable if there was no effect, Timeout if there may have been one.
  auto write(const std::string &WriteId, const std::vector<JobRow> &Jobs,
             std::uint64_t ViewVersion) -> Result<JobWriteResult>;

  /// The topology that the scheduler published; empty if there is none.
  auto readTopology() -> Result<std::vector<WorkerDescription>>;
  /// Replaces the published topology.
  auto publishTopology(const std::vector<WorkerDescription> &Workers,
                       std::uint64_t ViewVersion) -> Result<void>;

private:
  struct Entry {
    JobRow Job;
    std::uint64_t Sequence = 0;
  };

  TableService &Tables;
  ObjectStore &Objects;
  std::mutex RefreshMutex; ///< Serializes refresh().
  mutable std::mutex Mutex;
  std::uint64_t Revision = 0;
  std::uint64_t Sequence = 0; ///< Raised by each refresh with changes.
  std::map<std::string, Entry> Rows;
};

} // namespace jayramp
