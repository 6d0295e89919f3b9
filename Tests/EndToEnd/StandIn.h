#pragma once

#include "EndToEnd/ChildProcess.h"

#include <string>
#include <vector>

namespace web::json {
class value;
} // namespace web::json

namespace jayramp {

/// A stand-in process that runs as long as this object. Members throw
/// std::runtime_error on failure, which ends the test.
class StandIn {
public:
  static auto startPlatform(const std::vector<std::string> &Arguments = {})
      -> StandIn;
  static auto startWorkers(const std::vector<std::string> &Arguments = {})
      -> StandIn;

  /// "IP:port" of the process, or of worker \p Index of a worker process.
  auto address(int Index = 0) const -> std::string;

  auto control(const std::string &Json, int Index = 0) const -> void;
  auto record(int Index = 0) const -> web::json::value;

  auto process() -> ChildProcess & { return Process; }

private:
  StandIn(ChildProcess Process, std::string Address);

  static auto start(const std::string &Program,
                    const std::vector<std::string> &Arguments) -> StandIn;

  ChildProcess Process;
  std::string FirstAddress;
};

} // namespace jayramp
