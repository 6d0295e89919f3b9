#pragma once

#include "Base/Clock.h"
#include "Control/ControlCall.h"
#include "Settings/SocketAddress.h"

#include <string>
#include <variant>

namespace jayramp {

/// An HTTP response that was received completely.
struct CompleteResponse {
  int Status = 0; ///< HTTP status code.
  std::string Body;
};

/// The connection could not be established, so the call did not take effect.
struct ConnectFailed {
  std::string Detail;
};

/// The call may have taken effect, but no complete response was received.
struct ResponseLost {
  std::string Detail;
};

using CallResult = std::variant<CompleteResponse, ConnectFailed, ResponseLost>;

/// Sends \p Call once to \p EntryHost, on a new connection, and waits for the
/// response. Returns ResponseLost if it is not complete after \p Timeout.
auto callEntryHost(const SocketAddress &EntryHost, const ControlCall &Call,
                   Milliseconds Timeout) -> CallResult;

} // namespace jayramp
