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

/// All rows of a write were written.
struct JobWriteSuccess {
  std::vector<std::uint64_t> Versions; ///< New version of each row, in order.
};

/// No row of a write was written.
struct JobWriteConflict {
  std::vector<JobRow> CurrentRows; ///< Stored rows with another version.
  /// The stored view is not the one that the writer named.
  bool ViewChanged = false;
};

using JobWriteResult = std::variant<JobWriteSuccess, JobWriteConflict>;

/// Job rows in the table service, with a cache in memory that refresh()
/// updates. Functions that return a Result call the platform and block.
/// Thread-safe.
class JobStore {
public:
  /// In bytes; larger payloads are stored in the object store.
  static constexpr std::size_t InlinePayloadLimit = 16 * 1024;

  /// The references must outlive the store.
  JobStore(TableService &Tables, ObjectStore &Objects);

  /// Returns the id of the job that \p Account submits under \p Key.
  static auto jobId(const std::string &Account, const std::string &Key)
      -> std::string;

  /// Sets the payload of the row or, if it is larger than InlinePayloadLimit,
  /// writes it to the object store and sets PayloadKey. Returns the error of
  /// the object store.
  auto storePayload(JobRow &Job, std::string Payload) -> Result<void>;

  /// Updates the cache with the rows that changed since the last call. Returns
  /// the error of the table service; rows that cannot be parsed are logged and
  /// skipped.
  auto refresh() -> Result<void>;
  /// Returns all rows as of the last refresh; ended jobs have no payload.
  auto cachedRows() const -> std::vector<JobRow>;
  /// Returns the cached rows that changed after \p Cursor and advances it. A
  /// new reader begins with 0.
  auto rowsChangedSince(std::uint64_t &Cursor) const -> std::vector<JobRow>;
  /// Returns the row as of the last refresh, or nothing if it is not cached.
  auto cachedRow(const std::string &Id) const -> std::optional<JobRow>;
  /// Reads the row from the table service; returns nothing if it does not
  /// exist, and InvalidArgument if it cannot be parsed.
  auto read(const std::string &Id) -> Result<std::optional<JobRow>>;

  /// Writes the rows in one transaction. Each row's Version is the stored
  /// version that it replaces. \p ViewVersion is the version that the row
  /// `membership/view` must have, or 0 for no check. Repeating a call with the
  /// same \p WriteId is safe. Returns Unavailable if the call had no effect,
  /// Timeout if it may have had one.
  auto write(const std::string &WriteId, const std::vector<JobRow> &Jobs,
             std::uint64_t ViewVersion) -> Result<JobWriteResult>;

  /// Reads the topology that the scheduler published; empty if there is none.
  auto readTopology() -> Result<std::vector<WorkerDescription>>;
  /// Replaces the published topology. Returns Conflict if another scheduler has
  /// changed it or the view is not \p ViewVersion.
  auto publishTopology(const std::vector<WorkerDescription> &Workers,
                       std::uint64_t ViewVersion) -> Result<void>;

private:
  struct Entry {
    JobRow Job;
    std::uint64_t Sequence = 0; ///< Refresh that changed the row last.
  };

  TableService &Tables;
  ObjectStore &Objects;
  std::mutex RefreshMutex; ///< Allows one refresh() at a time.
  mutable std::mutex Mutex;
  std::uint64_t Revision = 0; ///< Of the table at the last refresh.
  std::uint64_t Sequence = 0; ///< Incremented by refreshes with changes.
  std::map<std::string, Entry> Rows;
};

} // namespace jayramp
