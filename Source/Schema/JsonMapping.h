#pragma once

#include "Base/Result.h"

#include <string>
#include <string_view>

namespace google::protobuf {
class Message;
} // namespace google::protobuf

namespace jayramp {

/// Parses \p Json, in the proto3 JSON mapping, into \p Target.
/// \returns InvalidArgument if \p Json is not valid JSON or has an unknown
/// field or a value of the wrong type; the place of the error is the path of
/// the offending field, or "body" if no field can be named.
auto parseJson(std::string_view Json, google::protobuf::Message &Target)
    -> Result<void>;

/// Returns \p Source in the proto3 JSON mapping, with the field names as the
/// schema spells them. Fields that have their default value are omitted.
auto renderJson(const google::protobuf::Message &Source) -> std::string;

} // namespace jayramp
