#pragma once

#include <string_view>

namespace jayramp {

enum class WorkClass { Short, Long };

/// "SHORT" or "LONG".
constexpr auto toString(WorkClass Class) -> std::string_view {
  return Class == WorkClass::Short ? "SHORT" : "LONG";
}

} // namespace jayramp
