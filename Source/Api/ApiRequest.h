#pragma once

#include <map>
#include <string>
#include <vector>

namespace jayramp {

/// An HTTP request whose whole body has been received.
struct ApiRequest {
  std::string Method;
  /// Percent-decoded segments of the path, for example {"v1", "jobs", "42"}.
  std::vector<std::string> Path;
  /// Percent-decoded parameters of the query by name.
  std::map<std::string, std::string> Query;
  std::string Body;
};

} // namespace jayramp
