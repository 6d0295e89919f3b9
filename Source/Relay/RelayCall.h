#pragma once

#include "Store/RowStore.h"

#include <variant>

namespace jayramp::relay {

/// Asks for changes of a table; see RowStore::changes().
struct ChangesQuery {
  std::string Table;
  std::uint64_t After = 0;
  Milliseconds Wait{0};
};

/// A store call that a peer is asked to make.
struct RelayCall {
  std::variant<store::RowTransaction, store::RangeQuery, ChangesQuery>
      Operation;
  Milliseconds Timeout{0}; ///< Without the wait for a change.
};

/// The peer is not served by the store either; nothing was done.
struct StoreUnavailable {};

using RelayReply =
    std::variant<store::TransactionCommitted, store::TransactionConflict,
                 store::RowPage, store::ChangeHistoryLost, store::StoreRefusal,
                 store::StoreNoAnswer, StoreUnavailable>;

} // namespace jayramp::relay
