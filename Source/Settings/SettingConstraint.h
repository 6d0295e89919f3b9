#pragma once

#include "Settings/DaemonSettings.h"

#include <string_view>
#include <vector>

namespace jayramp {

/// A condition on the values of two or more settings.
struct SettingConstraint {
  /// Keys of the settings that the condition uses. A violation is reported at
  /// the first of them that the settings file contains.
  std::vector<std::string_view> Keys;
  /// Returns true if the values satisfy the constraint.
  auto(*IsSatisfied)(const DaemonSettings::Sections &) -> bool = nullptr;
  /// The constraint and its reason as a sentence without a full stop.
  std::string_view Rule;
  std::string_view Remedy;
};

/// Returns all constraints between settings.
auto settingConstraints() -> const std::vector<SettingConstraint> &;

} // namespace jayramp
