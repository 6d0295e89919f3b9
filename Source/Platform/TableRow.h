#pragma once

#include <cstdint>
#include <string>

namespace jayramp {

/// One row of the table service as read.
struct TableRow {
  std::string Key;
  std::uint64_t Version = 0; ///< Raised by each write; 0: does not exist.
  std::string WriteId;       ///< Identity of the write that made this version.
  std::string Value;

  auto operator==(const TableRow &) const -> bool = default;
};

} // namespace jayramp
