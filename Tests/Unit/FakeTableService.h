#pragma once

#include "Platform/TableService.h"
#include "Platform/TableTransaction.h"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jayramp::test {

/// In-memory table service that can be unavailable, be slow, or lose the answer
/// of a write that took effect. Thread-safe.
class FakeTableService final : public TableService {
public:
  std::atomic<bool> Down{false}; ///< Makes every call fail with Unavailable.
  std::atomic<int> DelayMs{0};   ///< Added to every call.
  std::atomic<int> Reads{0};     ///< Number of read() and changes() calls.
  std::atomic<int> Writes{0};    ///< Number of commit() calls.

  /// Makes the next write to \p Table take effect but return Timeout, as if its
  /// answer had been lost.
  auto loseNextAnswer(const std::string &Table) -> void {
    std::lock_guard Lock(Mutex);
    LostAnswerTable = Table;
  }

  auto read(const std::string &Table, const std::string &Key)
      -> Result<std::optional<TableRow>> override {
    ++Reads;
    if (auto Failure = simulateCall())
      return *Failure;
    std::lock_guard Lock(Mutex);
    auto Found = Rows.find({Table, Key});
    if (Found == Rows.end())
      return std::optional<TableRow>();
    return std::optional<TableRow>(Found->second.Row);
  }

  auto changes(const std::string &Table, std::uint64_t Since)
      -> Result<TableChanges> override {
    ++Reads;
    if (auto Failure = simulateCall())
      return *Failure;
    std::lock_guard Lock(Mutex);
    TableChanges Result{Revision, {}};
    for (const auto &[RowKey, Entry] : Rows)
      if (RowKey.first == Table && Entry.Revision > Since)
        Result.Rows.push_back(Entry.Row);
    return Result;
  }

  auto commit(const TableTransaction &Transaction)
      -> Result<CommitResult> override {
    ++Writes;
    if (auto Failure = simulateCall())
      return *Failure;
    std::lock_guard Lock(Mutex);
    if (auto Earlier = CommittedWrites.find(Transaction.WriteId);
        Earlier != CommittedWrites.end())
      return CommitResult(Earlier->second);
    TransactionConflict Conflict;
    for (const auto &Check : Transaction.Checks)
      checkVersion(Check.Table, Check.Key, Check.Version, Conflict);
    for (const auto &Write : Transaction.Writes)
      checkVersion(Write.Table, Write.Key, Write.ExpectedVersion, Conflict);
    if (!Conflict.Conflicts.empty())
      return CommitResult(Conflict);
    ++Revision;
    TransactionCommitted Result;
    bool LoseAnswer = false;
    for (const auto &Write : Transaction.Writes) {
      auto &Entry = Rows[{Write.Table, Write.Key}];
      Entry.Revision = Revision;
      Entry.Row = {Write.Key, Entry.Row.Version + 1, Transaction.WriteId,
                   Write.Value};
      Result.Versions.push_back(Entry.Row.Version);
      LoseAnswer = LoseAnswer || Write.Table == LostAnswerTable;
    }
    CommittedWrites[Transaction.WriteId] = Result;
    if (LoseAnswer) {
      LostAnswerTable.clear();
      return Error::make(ErrorKind::Timeout, "store",
                         "the fake table service lost the answer", "retry");
    }
    return CommitResult(Result);
  }

  /// Returns the version of a row; 0 if it does not exist.
  auto version(const std::string &Table, const std::string &Key)
      -> std::uint64_t {
    std::lock_guard Lock(Mutex);
    return Rows[{Table, Key}].Row.Version;
  }

private:
  struct StoredRow {
    TableRow Row;
    std::uint64_t Revision = 0;
  };

  /// Waits for DelayMs; returns the error of the call if the service is down.
  auto simulateCall() -> std::optional<Error> {
    std::this_thread::sleep_for(std::chrono::milliseconds(DelayMs));
    if (Down)
      return Error::make(ErrorKind::Unavailable, "store",
                         "the fake table service is down", "retry");
    return std::nullopt;
  }

  /// Adds the row to \p Conflict if its version is not \p Version.
  auto checkVersion(const std::string &Table, const std::string &Key,
                    std::uint64_t Version, TransactionConflict &Conflict)
      -> void {
    auto Found = Rows.find({Table, Key});
    TableRow Current = Found == Rows.end() ? TableRow{Key} : Found->second.Row;
    if (Current.Version != Version)
      Conflict.Conflicts.push_back({Table, Current});
  }

  std::mutex Mutex;
  std::uint64_t Revision = 0;
  std::string LostAnswerTable;
  std::map<std::pair<std::string, std::string>, StoredRow> Rows;
  std::map<std::string, TransactionCommitted> CommittedWrites; ///< By write id.
};

} // namespace jayramp::test
