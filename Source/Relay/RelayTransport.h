#pragma once

#include "Relay/RelayCall.h"

#include <functional>
#include <optional>
#include <string>

namespace jayramp::relay {

/// Interface that sends relayed store calls to peers.
class RelayTransport {
public:
  /// Receives the peer's reply, or none if the peer did not answer; it may have
  /// made the call in that case.
  using Callback = std::function<void(std::optional<RelayReply>)>;

  virtual ~RelayTransport() = default;
  /// Sends \p Call to the peer at \p Address and calls \p Done exactly once, on
  /// the event loop.
  virtual auto call(const std::string &Address, const RelayCall &Call,
                    Callback Done) -> void = 0;
};

} // namespace jayramp::relay
