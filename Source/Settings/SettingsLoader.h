#pragma once

#include "Settings/DaemonSettings.h"
#include "Settings/SettingError.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace YAML {
class Node;
} // namespace YAML

namespace jayramp {

struct SettingDescription;

/// Parses and validates one settings file and collects all its errors.
class SettingsLoader {
public:
  /// \p FileName is the file name that errors report.
  explicit SettingsLoader(std::string FileName);

  /// Parses and validates the settings in \p Yaml. Must be called only once.
  auto read(const std::string &Yaml) -> void;

  /// Returns all errors in the order of their lines; empty if the file is
  /// valid.
  auto errors() const -> std::vector<SettingError>;

  /// Returns the values, which are complete only if there are no errors.
  auto values() const -> const DaemonSettings::Sections & { return Values; }

private:
  auto readSection(const std::string &Section, const YAML::Node &Map) -> void;
  auto readSetting(const SettingDescription &Setting, const YAML::Node &Value,
                   int Line) -> void;
  auto applyDefaults() -> void;
  auto checkConstraints() -> void;
  auto addError(int Line, std::string Key, std::string Detail,
                std::string Remedy) -> void;

  std::string FileName;
  DaemonSettings::Sections Values;
  std::vector<SettingError> Errors;
  /// Line of each section and setting in the file.
  std::map<std::string, int, std::less<>> Lines;
  /// Text of each valid setting, from the file or its default.
  std::map<std::string, std::string, std::less<>> ValueTexts;
  /// Keys of settings without a valid value. Constraints that use them are not
  /// checked, so that one mistake is reported once.
  std::set<std::string, std::less<>> InvalidKeys;
};

} // namespace jayramp
