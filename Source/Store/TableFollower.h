#pragma once

#include "Net/EventLoop.h"
#include "Store/RowStore.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jayramp::store {

/// Pace of a TableFollower.
struct FollowerTiming {
  Milliseconds Wait{1000};      ///< Longest wait of one call for a change.
  Milliseconds Pause{0};        ///< Between an answer with changes and a call.
  Milliseconds RetryDelay{150}; ///< After a call that failed.

  auto operator==(const FollowerTiming &) const -> bool = default;
};

/// Keeps a reader up to date with one table: first all rows of some partitions,
/// then each change, in any partition. Reads everything anew when the store has
/// dropped its history.
class TableFollower {
public:
  /// What the reader is told.
  struct Observer {
    /// All rows, at first and after the history was lost.
    std::function<void(std::vector<Row>)> OnSnapshot;
    /// Changed rows, in order; deleted rows are marked.
    std::function<void(std::vector<Row>)> OnChanges;
    /// The store has answered: what was told is current.
    std::function<void()> OnUpToDate;
    /// A call failed: what was told may be outdated. May be empty.
    std::function<void()> OnCallFailed = nullptr;
    /// What was told holds every change that was committed before \p AsOf.
    /// A call that the store refuses counts as well, since a store that is down
    /// takes no changes; a host that is turned away alone can be wrong here.
    /// May be empty.
    std::function<void(TimePoint AsOf)> OnCompleteAsOf = nullptr;
  };

  TableFollower(net::EventLoop &Loop, RowStore &Store, std::string Table,
                std::vector<std::string> Partitions, FollowerTiming Pace,
                Observer Told);
  ~TableFollower();
  TableFollower(const TableFollower &) = delete;
  auto operator=(const TableFollower &) -> TableFollower & = delete;

  auto start() -> void;

private:
  class Core;
  std::shared_ptr<Core> State;
};

} // namespace jayramp::store
