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

/// Reads one settings file and collects all its faults.
class SettingsLoader {
public:
  /// \p FileName appears in faults.
  explicit SettingsLoader(std::string FileName);

  /// Reads \p Yaml; called once.
  auto read(const std::string &Yaml) -> void;

  /// The faults in the order of their lines; empty if the file is valid.
  auto errors() const -> std::vector<SettingError>;

  /// Complete only if there are no faults.
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
  std::vector<SettingError> Faults;
  /// Line of each section and setting that the file has.
  std::map<std::string, int, std::less<>> Lines;
  /// Text of each setting, from the file or the default.
  std::map<std::string, std::string, std::less<>> Texts;
  /// Settings without a valid value; relations that read them are skipped.
  std::set<std::string, std::less<>> Invalid;
};

} // namespace jayramp
