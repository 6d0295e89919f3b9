#pragma once

#include <string_view>

namespace jayramp {

/// Class of a request by its expected run time.
enum class WorkClass { Short, Long };

/// Returns "SHORT" or "LONG".
constexpr auto toString(WorkClass Class) -> std::string_view {
  return Class == WorkClass::Short ? "SHORT" : "LONG";
}

} // namespace jayramp
