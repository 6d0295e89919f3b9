#pragma once

#include <string>

namespace jayramp {

/// Returns a random 128-bit identifier as 32 hexadecimal digits.
auto makeIdentifier() -> std::string;

} // namespace jayramp
