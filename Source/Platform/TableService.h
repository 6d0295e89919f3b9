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

/// Rows of one table that changed after a revision.
struct TableChanges {
  std::uint64_t Revision = 0;
  std::vector<TableRow> Rows;
};

/// Port to the platform's transactional table service. Calls block; they must
/// not be made from a handler of cpprestsdk. Errors: Unavailable if the call
/// certainly had no effect, Timeout if it may have taken effect.
class TableService {
public:
  virtual ~TableService() = default;

  /// The row, or nothing if it does not exist.
  virtual auto read(const std::string &Table, const std::string &Key)
      -> Result<std::optional<TableRow>> = 0;

  /// The rows that changed after \p Since; 0 gives all.
  virtual auto changes(const std::string &Table, std::uint64_t Since)
      -> Result<TableChanges> = 0;

  /// Applies the transaction once, however often it is repeated.
  virtual auto commit(const TableTransaction &Transaction)
      -> Result<CommitResult> = 0;
};

} // namespace jayramp
