#pragma once

#include "Base/Result.h"
#include "Relay/RelayCall.h"
#include "Relay/RowNotice.h"

#include <string>

/// Protobuf encoding of the messages between entry hosts. The decode functions
/// return Internal if the bytes are not a valid message.
namespace jayramp::relay {

auto encodeRelayCall(const RelayCall &Call) -> std::string;
auto decodeRelayCall(const std::string &Bytes) -> Result<RelayCall>;
auto encodeRelayReply(const RelayReply &Reply) -> std::string;
auto decodeRelayReply(const std::string &Bytes) -> Result<RelayReply>;
auto encodeRowNotice(const RowNotice &Notice) -> std::string;
auto decodeRowNotice(const std::string &Bytes) -> Result<RowNotice>;

} // namespace jayramp::relay
