#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

/// A condition of a transaction: the row must have exactly this version.
struct RowCheck {
  std::string Table;
  std::string Key;
  std::uint64_t Version = 0;

  auto operator==(const RowCheck &) const -> bool = default;
};

/// A row to write. The transaction is applied only if the row has the expected
/// version; 0 means that the row must not exist.
struct RowWrite {
  std::string Table;
  std::string Key;
  std::uint64_t ExpectedVersion = 0;
  std::string Value;

  auto operator==(const RowWrite &) const -> bool = default;
};

/// Conditions and writes that are applied as a whole or not at all.
struct TableTransaction {
  /// Identifies the write; the same whenever the write is repeated.
  std::string WriteId;
  std::vector<RowCheck> Checks;
  std::vector<RowWrite> Writes;

  auto operator==(const TableTransaction &) const -> bool = default;
};

} // namespace jayramp
