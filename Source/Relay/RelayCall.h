#pragma once

#include "Store/RowStore.h"

#include <variant>

namespace jayramp::relay {

/// Arguments of RowStore::changes().
struct ChangesQuery {
  std::string Table;
  std::uint64_t After = 0;
  Milliseconds Wait{0};
};

/// A store call that a peer makes on behalf of this host.
struct RelayCall {
  std::variant<store::RowTransaction, store::RangeQuery, ChangesQuery>
      Operation;
  /// Timeout of the call, in addition to ChangesQuery::Wait.
  Milliseconds Timeout{0};
};

/// The store is unavailable to the peer as well; the call was not made.
struct StoreUnavailable {};

/// Outcome of a relayed call: an outcome of the store, or StoreUnavailable.
using RelayReply =
    std::variant<store::TransactionCommitted, store::TransactionConflict,
                 store::RowPage, store::ChangeHistoryLost, store::StoreRefusal,
                 store::StoreNoAnswer, StoreUnavailable>;

} // namespace jayramp::relay
