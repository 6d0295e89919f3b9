#pragma once

#include <string>
#include <utility>
#include <vector>

namespace jayramp {

/// What a stand-in answers.
struct StandInAnswer {
  unsigned Status = 200;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
};

} // namespace jayramp
