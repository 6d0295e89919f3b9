#pragma once

#include <map>
#include <string>
#include <vector>

namespace jayramp {

/// One HTTP request whose body has been read to its end.
struct ApiRequest {
  std::string Method;
  /// Decoded segments of the path, for example {"v1", "jobs", "42"}.
  std::vector<std::string> Path;
  std::map<std::string, std::string> Query;
  std::string Body;
};

} // namespace jayramp
