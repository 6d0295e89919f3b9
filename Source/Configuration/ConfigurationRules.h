#pragma once

#include "Base/Result.h"

namespace jayramp::v1 {
class ConfigurationDocument;
} // namespace jayramp::v1

namespace jayramp {

/// Checks a document as a whole. \returns InvalidArgument whose place names the
/// offending field, for example "document.accounts[1].name".
auto checkConfiguration(const v1::ConfigurationDocument &Document)
    -> Result<void>;

} // namespace jayramp
