#include "Settings/SettingError.h"

namespace jayramp {

auto SettingError::message() const -> std::string {
  auto Place = File;
  if (Line > 0)
    Place += ":" + std::to_string(Line);
  if (!Key.empty())
    Place += ": " + Key;
  return Place + ": " + Detail + "; " + Remedy;
}

} // namespace jayramp
