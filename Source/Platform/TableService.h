#pragma once

#include "Base/Result.h"
#include "Platform/CommitResult.h"
#include "Platform/TableRow.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jayramp {

struct TableTransaction;

/// Rows of one table that changed after a given revision.
struct TableChanges {
  /// Revision up to which the rows are complete; pass it to the next call of
  /// changes().
  std::uint64_t Revision = 0;
  std::vector<TableRow> Rows;
};

/// Interface to the platform's transactional table service. Calls block and
/// must not be made from a handler of cpprestsdk. Errors: Unavailable if the
/// call had no effect, Timeout if it may have taken effect.
class TableService {
public:
  virtual ~TableService() = default;

  /// Returns the row, or nullopt if it does not exist.
  virtual auto read(const std::string &Table, const std::string &Key)
      -> Result<std::optional<TableRow>> = 0;

  /// Returns the rows that changed after revision \p Since, or all rows if it
  /// is 0.
  virtual auto changes(const std::string &Table, std::uint64_t Since)
      -> Result<TableChanges> = 0;

  /// Applies the transaction. Repeating it with the same write id applies it at
  /// most once.
  virtual auto commit(const TableTransaction &Transaction)
      -> Result<CommitResult> = 0;
};

} // namespace jayramp
