#pragma once

#include "Settings/DaemonSettings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace jayramp {

/// Where the value of a setting is stored; the alternative is its type.
using SettingTarget =
    std::variant<auto(*)(DaemonSettings::Sections &)->std::string &,
                 auto(*)(DaemonSettings::Sections &)->SocketAddress &,
                 auto(*)(DaemonSettings::Sections &)->Milliseconds &,
                 auto(*)(DaemonSettings::Sections &)->std::chrono::seconds &,
                 auto(*)(DaemonSettings::Sections &)->std::size_t &,
                 auto(*)(DaemonSettings::Sections &)->std::uint32_t &,
                 auto(*)(DaemonSettings::Sections &)->bool &,
                 auto(*)(DaemonSettings::Sections &)->LogLevel &>;

/// One row of the settings table, from which the loader and the reference page
/// are driven.
struct SettingDescription {
  /// Full key, for example "stop.grace_ms".
  std::string_view Key;
  SettingTarget Target;
  /// "ms", "s" or "KiB"; empty for a setting without unit.
  std::string_view Unit;
  /// Limits of a number, both inclusive; 0 and 0 for other types.
  std::int64_t Minimum = 0;
  std::int64_t Maximum = 0;
  /// As written in a file; empty if the setting has no default of its own.
  std::string_view Default;
  bool Required = false;
  /// One line for the reference page.
  std::string_view Meaning;

  /// "name", "IP:port", "whole number", "true or false" or "log level".
  auto type() const -> std::string_view;

  /// Values that the setting accepts, for example "100 to 1000 ms".
  auto range() const -> std::string;

  /// The part of the key before the first dot.
  auto section() const -> std::string_view;

  /// Stores \p Text, an unquoted YAML scalar, in \p Values.
  /// \returns what is wrong with the text, or nothing if it was stored.
  auto store(std::string_view Text, DaemonSettings::Sections &Values) const
      -> std::string;
};

} // namespace jayramp
