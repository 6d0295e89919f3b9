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

/// Table service in memory that can be down, slow, or lose the answers of
/// writes that took effect.
class FakeTableService final : public TableService {
public:
  std::atomic<bool> Down{false};
  std::atomic<int> DelayMs{0};
  std::atomic<int> Reads{0};
  std::atomic<int> Writes{0};

  /// The next write to \p Table takes effect, but its answer is lost.
  auto loseNextAnswer(const std::string &Table) -> void {
    std::lock_guard Lock(Mutex);
    LostTable = Table;
  }

  auto read(const std::string &Table, const std::string &Key)
      -> Result<std::optional<TableRow>> override {
    ++Reads;
    if (auto Failure = pause())
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
    if (auto Failure = pause())
      return *Failure;
    std::lock_guard Lock(Mutex);
    TableChanges Result{Revision, {}};
    for (const auto &[Place, Entry] : Rows)
      if (Place.first == Table && Entry.Revision > Since)
        Result.Rows.push_back(Entry.Row);
    return Result;
  }

  auto commit(const TableTransaction &Transaction)
      -> Result<CommitResult> override {
    ++Writes;
    if (auto Failure = pause())
      return *Failure;
    std::lock_guard Lock(Mutex);
    if (auto Known = Applied.find(Transaction.WriteId); Known != Applied.end())
      return CommitResult(Known->second);
    TransactionConflict Lost;
    for (const auto &Check : Transaction.Checks)
      compare(Check.Table, Check.Key, Check.Version, Lost);
    for (const auto &Write : Transaction.Writes)
      compare(Write.Table, Write.Key, Write.ExpectedVersion, Lost);
    if (!Lost.Conflicts.empty())
      return CommitResult(Lost);
    ++Revision;
    TransactionCommitted Done;
    bool Lose = false;
    for (const auto &Write : Transaction.Writes) {
      auto &Entry = Rows[{Write.Table, Write.Key}];
      Entry.Revision = Revision;
      Entry.Row = {Write.Key, Entry.Row.Version + 1, Transaction.WriteId,
                   Write.Value};
      Done.Versions.push_back(Entry.Row.Version);
      Lose = Lose || Write.Table == LostTable;
    }
    Applied[Transaction.WriteId] = Done;
    if (Lose) {
      LostTable.clear();
      return Error::make(ErrorKind::Timeout, "store", "answer lost", "retry");
    }
    return CommitResult(Done);
  }

  auto version(const std::string &Table, const std::string &Key)
      -> std::uint64_t {
    std::lock_guard Lock(Mutex);
    return Rows[{Table, Key}].Row.Version;
  }

private:
  struct Stored {
    TableRow Row;
    std::uint64_t Revision = 0;
  };

  auto pause() -> std::optional<Error> {
    std::this_thread::sleep_for(std::chrono::milliseconds(DelayMs));
    if (Down)
      return Error::make(ErrorKind::Unavailable, "store", "down", "retry");
    return std::nullopt;
  }

  auto compare(const std::string &Table, const std::string &Key,
               std::uint64_t Version, TransactionConflict &Lost) -> void {
    auto Found = Rows.find({Table, Key});
    TableRow Current = Found == Rows.end() ? TableRow{Key} : Found->second.Row;
    if (Current.Version != Version)
      Lost.Conflicts.push_back({Table, Current});
  }

  std::mutex Mutex;
  std::uint64_t Revision = 0;
  std::string LostTable;
  std::map<std::pair<std::string, std::string>, Stored> Rows;
  std::map<std::string, TransactionCommitted> Applied;
};

} // namespace jayramp::test
