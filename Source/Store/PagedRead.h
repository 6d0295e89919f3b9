#pragma once

#include "Net/EventLoop.h"
#include "Store/RowStore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jayramp::store {

/// Time limits of a PagedRead.
struct PagedReadTiming {
  Milliseconds PageTimeout{1500}; ///< Of the read of one page.
  Milliseconds RetryDelay{150};   ///< Delay after a failed read.

  auto operator==(const PagedReadTiming &) const -> bool = default;
};

/// Reads all rows of one partition, page by page, until it succeeds. Sizes the
/// pages by the time that they take and keeps the rows that it has read, so
/// that a large table is read over a slow link too, without filling the link
/// for long at a time.
class PagedRead {
public:
  /// All rows of the partition, in key order. Each is as it was at Version or
  /// at a later version.
  struct Contents {
    std::vector<Row> Rows;
    std::uint64_t Version = 0;
  };
  struct Observer {
    std::function<void(Contents)> OnDone;
    /// The read of a page failed and is repeated. May be empty.
    std::function<void()> OnPageFailed = nullptr;
  };

  /// Begins to read.
  PagedRead(net::EventLoop &Loop, RowStore &Store, std::string Table,
            std::string Partition, PagedReadTiming Timing, Observer Callbacks);
  /// Stops reading; no callback runs afterwards.
  ~PagedRead();
  PagedRead(const PagedRead &) = delete;
  auto operator=(const PagedRead &) -> PagedRead & = delete;

private:
  class Core;
  std::shared_ptr<Core> State;
};

} // namespace jayramp::store
