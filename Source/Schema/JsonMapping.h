#pragma once

#include "Base/Result.h"

#include <string>
#include <string_view>

namespace google::protobuf {
class Message;
} // namespace google::protobuf

namespace jayramp {

/// Fills \p Target from \p Json in the proto3 JSON mapping.
/// \returns InvalidArgument naming the offending field if the text is not JSON,
/// holds an unknown field or a value of the wrong type.
auto parseJson(std::string_view Json, google::protobuf::Message &Target)
    -> Result<void>;

/// \p Source in the proto3 JSON mapping, with the field names of the schema
/// and without fields that have their default value.
auto renderJson(const google::protobuf::Message &Source) -> std::string;

} // namespace jayramp
