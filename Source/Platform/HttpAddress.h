#pragma once

#include "Base/Result.h"

#include <string>

namespace jayramp {

/// Returns success if \p Address is an IPv4 address and a port in the form
/// "IP:port", else InvalidArgument. The error names \p Setting, the setting or
/// field that holds the address.
auto checkHttpAddress(const std::string &Setting, const std::string &Address)
    -> Result<void>;

} // namespace jayramp
