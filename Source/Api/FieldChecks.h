#pragma once

#include "Base/Result.h"

#include <cstdint>
#include <string>

namespace jayramp {

class ConfigurationQueries;

/// Returns InvalidArgument unless \p Value has 1 to 128 visible ASCII
/// characters. The error names \p Field.
auto checkName(const std::string &Field, const std::string &Value)
    -> Result<void>;

/// Returns InvalidArgument unless \p Value is from \p Minimum to \p Maximum,
/// both included. The error names \p Field.
auto checkRange(const std::string &Field, std::uint64_t Value,
                std::uint64_t Minimum, std::uint64_t Maximum) -> Result<void>;

/// Returns NotFound unless the configuration in effect has the account.
auto checkAccountExists(const ConfigurationQueries &Settings,
                        const std::string &Account) -> Result<void>;

} // namespace jayramp
