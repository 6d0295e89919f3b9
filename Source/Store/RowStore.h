#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace jayramp::store {

/// Address of a row. Rows of one partition can be changed in one transaction.
struct RowKey {
  std::string Table;
  std::string Partition;
  std::string Key;

  friend auto operator==(const RowKey &, const RowKey &) -> bool = default;
  friend auto operator<(const RowKey &Left, const RowKey &Right) -> bool {
    return std::tie(Left.Table, Left.Partition, Left.Key) <
           std::tie(Right.Table, Right.Partition, Right.Key);
  }
};

/// Appended to a key, gives a bound behind it and before all other keys: keys
/// hold no character below this one.
constexpr char KeySuccessorSuffix = '!';

/// A row as it is stored. Version 0 means that it does not exist.
struct Row {
  RowKey Key;
  std::string Value;
  std::uint64_t Version = 0;
  bool Deleted = false; ///< Only in changes.

  auto operator==(const Row &) const -> bool = default;
};

/// A row that must have this version; 0: that must not exist.
struct RowCondition {
  RowKey Key;
  std::uint64_t Version = 0;
};

struct RowWrite {
  RowKey Key;
  std::string Value;
};

/// Applied as a whole or not at all. All keys have the same partition.
struct RowTransaction {
  std::vector<RowCondition> Conditions;
  std::vector<RowWrite> Writes;
  std::vector<RowKey> Removals;

  /// Most entries that one transaction may hold.
  static constexpr std::size_t MaxEntries = 100;
};

/// The transaction was applied; Version belongs to all rows it wrote.
struct TransactionCommitted {
  std::uint64_t Version = 0;
};
/// A condition did not hold; Current are the rows of the conditions.
struct TransactionConflict {
  std::vector<Row> Current;
};
/// Nothing was done and nothing will be.
struct StoreRefusal {
  std::string Reason;
};
/// No answer: the call may have been carried out, or may be later.
struct StoreNoAnswer {
  std::string Reason;
};
/// Changes since the version asked for are no longer kept.
struct ChangeHistoryLost {};

using TransactionOutcome =
    std::variant<TransactionCommitted, TransactionConflict, StoreRefusal,
                 StoreNoAnswer>;

/// Rows of one partition in key order; To is excluded, empty means no bound.
struct RangeQuery {
  std::string Table;
  std::string Partition;
  std::string From;
  std::string To;
};

struct RowPage {
  std::vector<Row> Rows;
  bool More = false;
  std::uint64_t Version = 0; ///< Newest version of the store at that time.
};

using ReadOutcome = std::variant<RowPage, StoreRefusal, StoreNoAnswer>;
using ChangesOutcome =
    std::variant<RowPage, ChangeHistoryLost, StoreRefusal, StoreNoAnswer>;

/// The platform's table service: linearizable, with transactions within one
/// partition and change feeds. Callbacks run on the event loop.
class RowStore {
public:
  virtual ~RowStore() = default;

  virtual auto transact(const RowTransaction &Change, Milliseconds Timeout,
                        std::function<void(TransactionOutcome)> Done)
      -> void = 0;
  virtual auto read(RangeQuery Query, Milliseconds Timeout,
                    std::function<void(ReadOutcome)> Done) -> void = 0;
  /// Changes of \p Table in all partitions after version \p After. Waits up to
  /// \p Wait for the first one.
  virtual auto changes(std::string Table, std::uint64_t After,
                       Milliseconds Wait,
                       std::function<void(ChangesOutcome)> Done) -> void = 0;
  /// How long recent calls took, without the time that they asked to wait.
  virtual auto recentLatency() const -> Milliseconds = 0;
  /// Whether calls made now are likely to be answered.
  virtual auto available() const -> bool = 0;
};

} // namespace jayramp::store
