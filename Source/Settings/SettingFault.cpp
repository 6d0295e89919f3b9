#include "Settings/SettingFault.h"

namespace jayramp {

auto SettingFault::message() const -> std::string {
  auto Place = File;
  if (Line > 0)
    Place += ":" + std::to_string(Line);
  if (!Key.empty())
    Place += ": " + Key;
  return Place + ": " + Detail + "; " + Remedy;
}

} // namespace jayramp
