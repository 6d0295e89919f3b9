#pragma once

#include "Settings/SettingDescription.h"

#include <string_view>
#include <vector>

namespace jayramp {

/// Every setting of jayrampd, in the order of the reference page.
auto settingsTable() -> const std::vector<SettingDescription> &;

/// The setting with the full key \p Key, or null.
auto findSetting(std::string_view Key) -> const SettingDescription *;

} // namespace jayramp
