#pragma once

#include "Control/ExitCode.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace jayramp {

/// Runs jayrampctl with \p Arguments, without the program name.
auto runControlProgram(const std::vector<std::string> &Arguments,
                       std::ostream &Output, std::ostream &Diagnostics)
    -> ExitCode;

} // namespace jayramp
