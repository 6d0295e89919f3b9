#pragma once

#include <map>
#include <string>

namespace jayramp {

/// An HTTP request that a stand-in received.
struct StandInRequest {
  std::string Method;
  std::string Path; ///< Percent-encoded, without the query.
  std::string Query;
  std::map<std::string, std::string> Headers; ///< Names in lower case.
  std::string Body;
  /// True if the connection exceeds the connection limit of the server.
  bool OverConnectionLimit = false;
};

} // namespace jayramp
