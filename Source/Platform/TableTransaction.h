#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace jayramp {

/// A row that must have exactly this version for a transaction to apply.
struct RowCheck {
  std::string Table;
  std::string Key;
  std::uint64_t Version = 0;

  auto operator==(const RowCheck &) const -> bool = default;
};

/// A row to write; applies only if the row has the expected version.
struct RowWrite {
  std::string Table;
  std::string Key;
  std::uint64_t ExpectedVersion = 0;
  std::string Value;

  auto operator==(const RowWrite &) const -> bool = default;
};

/// Checks and writes that apply together or not at all.
struct TableTransaction {
  /// Chosen by the writer, the same in each repeat of the same write.
  std::string WriteId;
  std::vector<RowCheck> Checks;
  std::vector<RowWrite> Writes;

  auto operator==(const TableTransaction &) const -> bool = default;
};

} // namespace jayramp
