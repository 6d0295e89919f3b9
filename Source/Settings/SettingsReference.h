#pragma once

#include <string>

namespace jayramp {

/// Returns the text of the reference page docs/settings.md, generated from the
/// settings table and the constraints.
auto renderSettingsReference() -> std::string;

} // namespace jayramp
