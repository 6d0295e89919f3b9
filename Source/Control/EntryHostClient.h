#pragma once

#include "Base/Clock.h"
#include "Control/ControlCall.h"
#include "Settings/SocketAddress.h"

#include <string>
#include <variant>

namespace jayramp {

/// An answer that was read whole.
struct WholeAnswer {
  int Status = 0;
  std::string Body;
};

/// No connection was made, so the call did not take effect.
struct NotReached {
  std::string Detail;
};

/// The call may have taken effect; there is no whole answer.
struct AnswerLost {
  std::string Detail;
};

using CallResult = std::variant<WholeAnswer, NotReached, AnswerLost>;

/// Sends \p Call once, on a connection of its own, to \p EntryHost. Ends after
/// \p Timeout.
auto callEntryHost(const SocketAddress &EntryHost, const ControlCall &Call,
                   Milliseconds Timeout) -> CallResult;

} // namespace jayramp
