#pragma once

#include "Base/Result.h"

#include <cstdint>
#include <string>

namespace jayramp {

class ConfigurationQueries;

/// InvalidArgument unless \p Value is 1 to 128 visible ASCII characters.
auto checkName(const std::string &Field, const std::string &Value)
    -> Result<void>;

/// InvalidArgument unless \p Value is between the bounds, both included.
auto checkRange(const std::string &Field, std::uint64_t Value,
                std::uint64_t Lowest, std::uint64_t Highest) -> Result<void>;

/// NotFound unless the configuration in force has the account.
auto checkAccountExists(const ConfigurationQueries &Settings,
                        const std::string &Account) -> Result<void>;

} // namespace jayramp
