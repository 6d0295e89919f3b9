#pragma once

#include "Settings/DaemonSettings.h"

#include <string_view>
#include <vector>

namespace jayramp {

/// A rule that ties several settings together.
struct SettingConstraint {
  /// The settings that the rule reads; a fault is reported at the first of them
  /// that the file sets.
  std::vector<std::string_view> Keys;
  auto(*IsSatisfied)(const DaemonSettings::Sections &) -> bool = nullptr;
  /// The rule as a sentence, with its reason.
  std::string_view Rule;
  std::string_view Remedy;
};

/// Every rule that ties settings together.
auto settingConstraints() -> const std::vector<SettingConstraint> &;

} // namespace jayramp
