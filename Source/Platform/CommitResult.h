#pragma once

#include "Platform/TableRow.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jayramp {

/// The transaction was applied, by this call or by an earlier one with the same
/// write id.
struct TransactionCommitted {
  /// New version of each written row, in the order of the writes.
  std::vector<std::uint64_t> Versions;

  auto operator==(const TransactionCommitted &) const -> bool = default;
};

/// A row whose version differs from the expected one, with its current
/// contents.
struct RowConflict {
  std::string Table;
  TableRow Current;

  auto operator==(const RowConflict &) const -> bool = default;
};

/// The transaction was not applied, and repeating it unchanged cannot succeed.
struct TransactionConflict {
  std::vector<RowConflict> Conflicts;

  auto operator==(const TransactionConflict &) const -> bool = default;
};

/// Result of a commit to which the table service responded.
using CommitResult = std::variant<TransactionCommitted, TransactionConflict>;

} // namespace jayramp
