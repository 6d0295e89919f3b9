#pragma once

#include "EndToEnd/ChildProcess.h"

#include <string>
#include <vector>

namespace web::json {
class value;
} // namespace web::json

namespace jayramp {

/// A process that simulates the platform or one or more workers, and runs as
/// long as this object exists. Members throw std::runtime_error on failure,
/// which fails the test.
class StandIn {
public:
  /// Starts platform-stand-in with \p Arguments and waits until it listens.
  static auto startPlatform(const std::vector<std::string> &Arguments = {})
      -> StandIn;
  /// Starts worker-stand-in, one process for one or more workers, with
  /// \p Arguments and waits until it listens.
  static auto startWorkers(const std::vector<std::string> &Arguments = {})
      -> StandIn;

  /// Returns "IP:port" of the process, or of the worker \p Index that it
  /// simulates.
  auto address(int Index = 0) const -> std::string;

  /// Sends \p Json to /control of the worker \p Index, or of the platform, to
  /// change the simulated behaviour.
  auto control(const std::string &Json, int Index = 0) const -> void;
  /// Returns the record of the calls that the worker \p Index, or the platform,
  /// has received.
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
