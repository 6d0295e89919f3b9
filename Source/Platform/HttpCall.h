#pragma once

#include "Base/Clock.h"

#include <string>
#include <utility>
#include <vector>

namespace jayramp {

/// One HTTP call to send.
struct HttpCall {
  std::string Address; ///< "IP:port".
  std::string Method;  ///< "GET", "PUT" or "POST".
  std::string Path;    ///< Encoded path with query.
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /// From the call to the last byte of the answer.
  Milliseconds Timeout{0};
  /// True forces a connection of its own; a pooled client repeats a POST by
  /// itself when a reused connection turns out to be closed.
  bool FreshConnection = false;
};

} // namespace jayramp
