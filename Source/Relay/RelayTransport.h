#pragma once

#include "Relay/RelayCall.h"

#include <functional>
#include <optional>
#include <string>

namespace jayramp::relay {

/// Sends calls to peers.
class RelayTransport {
public:
  /// No reply: the peer may have made the call.
  using Callback = std::function<void(std::optional<RelayReply>)>;

  virtual ~RelayTransport() = default;
  /// Calls \p Done exactly once, on the event loop.
  virtual auto call(const std::string &Address, const RelayCall &Call,
                    Callback Done) -> void = 0;
};

} // namespace jayramp::relay
