#pragma once

#include <string>
#include <utility>
#include <vector>

namespace jayramp {

/// An HTTP response of a stand-in.
struct StandInAnswer {
  unsigned Status = 200;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
};

} // namespace jayramp
