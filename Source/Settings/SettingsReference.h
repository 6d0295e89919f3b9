#pragma once

#include <string>

namespace jayramp {

/// The reference page docs/settings.md, from the settings table.
auto renderSettingsReference() -> std::string;

} // namespace jayramp
