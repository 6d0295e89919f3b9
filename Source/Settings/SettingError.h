#pragma once

#include <compare>
#include <string>

namespace jayramp {

/// One fault of a settings file.
struct SettingError {
  std::string File;
  /// Line of the offending input, counted from 1; 0 if the file has none.
  int Line = 0;
  /// Full key, for example "api.address"; empty for a fault of the whole file.
  std::string Key;
  std::string Detail;
  std::string Remedy;

  /// "file:line: key: detail; remedy".
  auto message() const -> std::string;

  auto operator==(const SettingError &) const -> bool = default;
};

} // namespace jayramp
