#pragma once

#include "Settings/SettingDescription.h"

#include <string_view>
#include <vector>

namespace jayramp {

/// Returns the descriptions of all jayrampd settings, in the order of the
/// reference page.
auto settingsTable() -> const std::vector<SettingDescription> &;

/// Returns the description of the setting with the full key \p Key, for example
/// "api.address", or null if there is none.
auto findSetting(std::string_view Key) -> const SettingDescription *;

} // namespace jayramp
