#pragma once

#include "Control/ExitCode.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace jayramp {

/// Runs jayrampctl with \p Arguments, which exclude the program name. Writes
/// results to \p Output and error messages to \p Diagnostics.
/// \returns the exit code of the process.
auto runControlProgram(const std::vector<std::string> &Arguments,
                       std::ostream &Output, std::ostream &Diagnostics)
    -> ExitCode;

} // namespace jayramp
