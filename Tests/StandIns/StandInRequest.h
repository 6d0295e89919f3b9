#pragma once

#include <map>
#include <string>

namespace jayramp {

/// A call as a stand-in received it.
struct StandInRequest {
  std::string Method;
  std::string Path; ///< Still encoded, without the query.
  std::string Query;
  std::map<std::string, std::string> Headers; ///< Names in lower case.
  std::string Body;
  /// The connection is one more than the server's limit allows.
  bool OverConnectionLimit = false;
};

} // namespace jayramp
