#pragma once

#include "Base/Result.h"

#include <string>

namespace jayramp {

/// InvalidArgument naming \p Place unless \p Address has the form "IP:port".
auto checkHttpAddress(const std::string &Place, const std::string &Address)
    -> Result<void>;

} // namespace jayramp
