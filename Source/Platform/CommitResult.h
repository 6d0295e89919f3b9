#pragma once

#include "Platform/TableRow.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace jayramp {

/// The transaction applied, now or in an earlier try with the same write id.
struct TransactionCommitted {
  std::vector<std::uint64_t> Versions; ///< One for each write.

  auto operator==(const TransactionCommitted &) const -> bool = default;
};

/// A row with another version than expected, as it stands now.
struct RowConflict {
  std::string Table;
  TableRow Current;

  auto operator==(const RowConflict &) const -> bool = default;
};

/// The transaction did not apply and never will.
struct TransactionConflict {
  std::vector<RowConflict> Conflicts;

  auto operator==(const TransactionConflict &) const -> bool = default;
};

using CommitResult = std::variant<TransactionCommitted, TransactionConflict>;

} // namespace jayramp
