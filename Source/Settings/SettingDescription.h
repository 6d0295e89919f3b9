#pragma once

#include "Settings/DaemonSettings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace jayramp {

/// Function that returns the field of DaemonSettings::Sections in which a
/// setting is stored. The alternative of the variant is the type of the
/// setting.
using SettingTarget =
    std::variant<auto(*)(DaemonSettings::Sections &)->std::string &,
                 auto(*)(DaemonSettings::Sections &)->SocketAddress &,
                 auto(*)(DaemonSettings::Sections &)->Milliseconds &,
                 auto(*)(DaemonSettings::Sections &)->std::chrono::seconds &,
                 auto(*)(DaemonSettings::Sections &)->std::size_t &,
                 auto(*)(DaemonSettings::Sections &)->std::uint32_t &,
                 auto(*)(DaemonSettings::Sections &)->bool &,
                 auto(*)(DaemonSettings::Sections &)->LogLevel &>;

/// Describes one setting. The settings loader and the reference page both use
/// the table of these descriptions.
struct SettingDescription {
  /// Section and name of the setting, for example "stop.grace_ms".
  std::string_view Key;
  SettingTarget Target;
  /// "ms", "s", "KiB" or "bytes"; empty for a setting without a unit.
  std::string_view Unit;
  /// Inclusive limits of a number, in Unit; both are 0 for other types.
  std::int64_t Minimum = 0;
  std::int64_t Maximum = 0;
  /// Default value as it would be written in a settings file; empty if the
  /// setting has no fixed default.
  std::string_view Default;
  bool Required = false;
  /// Description for the reference page, in one line.
  std::string_view Meaning;

  /// Returns the name of the setting's type:
  /// "name", "IP:port", "whole number", "true or false" or "log level".
  auto type() const -> std::string_view;

  /// Returns the accepted values, for example "100 to 1000 ms".
  auto range() const -> std::string;

  /// Returns the part of the key before the first dot.
  auto section() const -> std::string_view;

  /// Parses \p Text, the content of a YAML scalar, and stores the value in
  /// \p Values.
  /// \returns an empty string, or what is wrong with \p Text if it was not
  /// stored.
  auto store(std::string_view Text, DaemonSettings::Sections &Values) const
      -> std::string;
};

} // namespace jayramp
