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

/// The rows of jobs that are not final: what the scheduler wants them to be and
/// what is known to be stored. Writes all changed rows together, one
/// transaction at a time, so that they become durable in the order in which
/// they were changed. Used by one thread.
class JobRowWriteBuffer {
public:
  struct Batch {
    std::string WriteId;
    std::vector<JobRow> Rows;
    std::uint64_t ViewVersion = 0;
  };

  /// Most rows in one transaction.
  static constexpr std::size_t LargestBatch = 64;

  /// Takes over a row as stored; an unknown one is added.
  auto adopt(const JobRow &Stored) -> void;
  auto clear() -> void;
  auto find(const std::string &Id) const -> const JobRow *;
  auto ids() const -> std::vector<std::string>;
  /// Changes the wanted row; nothing happens if the job is unknown.
  auto change(const std::string &Id, const std::function<void(JobRow &)> &Edit)
      -> void;
  auto isStored(const std::string &Id, JobRowState State,
                std::uint32_t Attempt) const -> bool;
  auto inBatch(const std::string &Id) const -> bool;
  auto storedVersion(const std::string &Id) const -> std::uint64_t;

  /// The next transaction; empty if one is in flight or nothing has changed.
  /// It must be repeated as it is until its result is known.
  auto nextBatch(std::uint64_t ViewVersion) -> Batch;
  auto batchWritten(const std::vector<std::uint64_t> &Versions) -> void;
  /// The batch in flight had no effect; its rows are written again.
  auto batchLost() -> void;
  /// Forgets a job that is final in the store.
  auto forget(const std::string &Id) -> void;

private:
  struct Entry {
    JobRow Wanted;
    JobRow Stored;
    bool Queued = false;
  };

  auto enqueue(const std::string &Id, Entry &Row) -> void;

  std::map<std::string, Entry> Rows;
  std::deque<std::string> Changed; ///< In the order of their changes.
  Batch InFlight;
};

} // namespace jayramp
