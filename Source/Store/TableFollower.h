#pragma once

#include "Net/EventLoop.h"
#include "Store/RowStore.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jayramp::store {

/// Intervals of a TableFollower's calls to the store.
struct FollowerTiming {
  Milliseconds PollTimeout{1000};    ///< Longest wait of a call for a change.
  Milliseconds PauseAfterChanges{0}; ///< Delay of the call after changes came.
  Milliseconds RetryDelay{150};      ///< Delay after a failed call.

  auto operator==(const FollowerTiming &) const -> bool = default;
};

/// Keeps an observer up to date with one table: reports first all rows of the
/// given partitions, then each change in any partition. Reads all rows again if
/// the store no longer has the change history.
class TableFollower {
public:
  /// Callbacks for the contents of the table and the state of the connection.
  struct Observer {
    /// Receives all rows, at the start and after the change history was lost.
    std::function<void(std::vector<Row>)> OnSnapshot;
    /// Receives changed rows in order; deleted rows are marked.
    std::function<void(std::vector<Row>)> OnChanges;
    /// The store has answered: the rows reported so far include every change
    /// that was committed before \p AsOf, on the clock of suspendAwareNow().
    /// AsOf is older than the call if the answer was handled late.
    std::function<void(Milliseconds AsOf)> OnUpToDate;
    /// A call failed: the rows reported so far may be outdated. May be empty.
    std::function<void()> OnCallFailed = nullptr;
    /// Like OnUpToDate, but also called when the store refuses a call, since a
    /// store that is down commits nothing; this is wrong if the store refuses
    /// only this host. May be empty.
    std::function<void(Milliseconds AsOf)> OnCompleteAsOf = nullptr;
    /// Leaves rows that were stored while a snapshot was read to OnChanges, so
    /// that no row is reported before one of a lower version. A row that was
    /// rewritten meanwhile is then missing from the snapshot.
    bool InOrder = false;
  };

  TableFollower(net::EventLoop &Loop, RowStore &Store, std::string Table,
                std::vector<std::string> Partitions, FollowerTiming Timing,
                Observer Callbacks);
  /// Stops following; no callback runs afterwards.
  ~TableFollower();
  TableFollower(const TableFollower &) = delete;
  auto operator=(const TableFollower &) -> TableFollower & = delete;

  auto start() -> void;
  /// Replaces the delay of the calls after changes came.
  auto setPauseAfterChanges(Milliseconds Pause) -> void;

private:
  class Core;
  std::shared_ptr<Core> State;
};

} // namespace jayramp::store
