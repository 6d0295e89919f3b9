#pragma once

#include "Base/Result.h"

namespace jayramp::v1 {
class ConfigurationDocument;
} // namespace jayramp::v1

namespace jayramp {

/// Validates a whole document.
/// \returns InvalidArgument whose place is the path of the first offending
/// field, for example "document.accounts[1].name".
auto checkConfiguration(const v1::ConfigurationDocument &Document)
    -> Result<void>;

} // namespace jayramp
