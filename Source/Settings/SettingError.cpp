#include "Settings/SettingError.h"

namespace jayramp {

auto SettingError::message() const -> std::string {
  auto Location = File;
  if (Line > 0)
    Location += ":" + std::to_string(Line);
  if (!Key.empty())
    Location += ": " + Key;
  return Location + ": " + Detail + "; " + Remedy;
}

} // namespace jayramp
