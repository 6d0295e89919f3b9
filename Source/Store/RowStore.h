#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace jayramp::store {

/// Latency from which the store counts as slow: it then takes fewer
/// transactions than many hosts send.
constexpr Milliseconds SlowStoreLatency{100};

/// Identifies a row. Rows of one partition can be changed in one transaction.
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

/// Appending this character to a key gives a range bound that lies after the
/// key and before every other key that follows it, because keys contain no
/// smaller character.
constexpr char KeySuccessorSuffix = '!';

/// A row as it is stored. Version 0 means that the row does not exist.
struct Row {
  RowKey Key;
  std::string Value;
  std::uint64_t Version = 0;
  bool Deleted = false; ///< Set only in rows that changes() returns.

  auto operator==(const Row &) const -> bool = default;
};

/// Requires that a row has a given version; version 0 requires that the row
/// does not exist.
struct RowCondition {
  RowKey Key;
  std::uint64_t Version = 0;
};

struct RowWrite {
  RowKey Key;
  std::string Value;
};

/// A set of changes that is applied completely or not at all. All keys belong
/// to the same partition.
struct RowTransaction {
  std::vector<RowCondition> Conditions;
  std::vector<RowWrite> Writes;
  std::vector<RowKey> Removals;

  /// Largest number of entries in one transaction.
  static constexpr std::size_t MaxEntries = 100;
};

/// The transaction was applied; all rows that it wrote have this version.
struct TransactionCommitted {
  std::uint64_t Version = 0;
};
/// The transaction was not applied because a condition did not hold. Current
/// holds the current rows of all conditions.
struct TransactionConflict {
  std::vector<Row> Current;
};
/// The store rejected the call: it had no effect and will have none.
struct StoreRefusal {
  std::string Reason;
};
/// No answer arrived: the call may have taken effect or may still do so.
struct StoreNoAnswer {
  std::string Reason;
};
/// The store no longer keeps all changes since the requested version.
struct ChangeHistoryLost {};

using TransactionOutcome =
    std::variant<TransactionCommitted, TransactionConflict, StoreRefusal,
                 StoreNoAnswer>;

/// Selects rows of one partition with From <= key < To, in key order. An empty
/// bound does not limit the range.
struct RangeQuery {
  std::string Table;
  std::string Partition;
  std::string From;
  std::string To;
  /// Largest number of rows in the answer; 0 for as many as the store gives.
  std::size_t MaxRows = 0;

  auto operator==(const RangeQuery &) const -> bool = default;
};

/// Returns a query that matches only the row with this key.
inline auto singleRowQuery(const RowKey &Key) -> RangeQuery {
  return {Key.Table, Key.Partition, Key.Key, Key.Key + KeySuccessorSuffix};
}

struct RowPage {
  std::vector<Row> Rows;
  bool More = false;         ///< Further rows follow the last one.
  std::uint64_t Version = 0; ///< Latest version of the store at the read.
};

using ReadOutcome = std::variant<RowPage, StoreRefusal, StoreNoAnswer>;
using ChangesOutcome =
    std::variant<RowPage, ChangeHistoryLost, StoreRefusal, StoreNoAnswer>;

/// Client of the platform's table service, which is linearizable and offers
/// transactions within one partition and change feeds. Callbacks run on the
/// event loop.
class RowStore {
public:
  virtual ~RowStore() = default;

  /// Applies \p Change if all of its conditions hold.
  virtual auto transact(const RowTransaction &Change, Milliseconds Timeout,
                        std::function<void(TransactionOutcome)> Done)
      -> void = 0;
  /// Reads the first page of the range.
  virtual auto read(RangeQuery Query, Milliseconds Timeout,
                    std::function<void(ReadOutcome)> Done) -> void = 0;
  /// Reads the changes of \p Table in all partitions after version \p After. If
  /// there are none, waits up to \p Wait for the first one.
  virtual auto changes(std::string Table, std::uint64_t After,
                       Milliseconds Wait,
                       std::function<void(ChangesOutcome)> Done) -> void = 0;
  /// Returns the duration of recent calls, without the time that changes() was
  /// asked to wait.
  virtual auto recentLatency() const -> Milliseconds = 0;
  /// Returns whether calls made now are likely to be answered.
  virtual auto available() const -> bool = 0;
};

} // namespace jayramp::store
