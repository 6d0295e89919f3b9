#pragma once

#include "Base/Clock.h"

#include <string>
#include <utility>
#include <vector>

namespace jayramp {

/// An HTTP request to send, its destination and its time limit.
struct HttpCall {
  std::string Address; ///< "IP:port".
  std::string Method;  ///< "GET", "PUT" or "POST".
  std::string Path;    ///< Percent-encoded path and query.
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /// Time limit from sending the call to receiving the last byte of the
  /// response.
  Milliseconds Timeout{0};
  /// If true, the call uses a new connection that no other call shares. This
  /// prevents cpprestsdk from sending a POST a second time, which it does when
  /// a pooled connection turns out to be closed.
  bool FreshConnection = false;
};

} // namespace jayramp
