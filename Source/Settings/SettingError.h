#pragma once

#include <compare>
#include <string>

namespace jayramp {

/// One error in a settings file.
struct SettingError {
  std::string File;
  /// Line of the offending input, starting at 1; 0 if the error has no line.
  int Line = 0;
  /// Section or full key that the error is about, for example "api.address";
  /// empty if it is about the file.
  std::string Key;
  std::string Detail; ///< What is wrong.
  std::string Remedy; ///< What to do.

  /// Returns "file:line: key: detail; remedy", without the line or the key if
  /// there is none.
  auto message() const -> std::string;

  auto operator==(const SettingError &) const -> bool = default;
};

} // namespace jayramp
