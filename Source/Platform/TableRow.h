#pragma once

#include <cstdint>
#include <string>

namespace jayramp {

/// A row as read from the table service.
struct TableRow {
  std::string Key;
  std::uint64_t Version = 0; ///< Increases with each write; 0 if absent.
  std::string WriteId;       ///< Write id of the transaction that wrote it.
  std::string Value;

  auto operator==(const TableRow &) const -> bool = default;
};

} // namespace jayramp
