#pragma once

#include "EndToEnd/ChildProcess.h"

#include <optional>
#include <string>
#include <vector>

namespace jayramp::platform_test {

/// One jayramp-entryd process with settings, ports and a log file of its own,
/// which it keeps when it is started again.
class EntryHost {
public:
  struct Options {
    std::string Daemon; ///< Path of the program.
    std::string Folder; ///< For the settings and the log.
    std::string Name;
    std::string Zone;
    std::vector<std::string> Zones; ///< All zones of the deployment.
    std::string StoreAddress;
    unsigned MemoryMb = 260;       ///< Setting limits.memory-mb.
    unsigned MaxFds = 4100;        ///< Setting limits.max-fds.
    std::string CpuShare = "0.25"; ///< In processor cores.
  };
  enum class State { Running, Paused, Down };

  /// Starts the process. Errors: those of ChildProcess::start().
  static auto start(Options Settings) -> Result<EntryHost>;

  auto name() const -> const std::string & { return Settings.Name; }
  auto callerAddress() const -> const std::string & { return CallerAddress; }
  auto readinessAddress() const -> const std::string & {
    return ReadinessAddress;
  }
  auto peerAddress() const -> std::string;
  auto processId() const -> pid_t { return Process->processId(); }
  auto state() const -> State { return Current; }
  auto isReady() const -> bool;
  /// Returns false if the process has ended although nobody killed it.
  auto isAsExpected() -> bool;

  auto pause() -> void;
  auto resume() -> void;
  auto kill() -> void;
  auto startAgain() -> Result<void>;

  /// Returns the lines of the log that contain \p Text.
  auto logLines(const std::string &Text) const -> std::vector<std::string>;

private:
  explicit EntryHost(Options Settings);
  auto settingsPath() const -> std::string;
  auto logPath() const -> std::string;
  auto writeSettings(bool IsFirstStart) const -> void;
  auto startProcess(bool IsFirstStart) -> Result<void>;

  Options Settings;
  std::string CallerAddress;
  std::string ReadinessAddress;
  std::string ControlAddress;
  unsigned PeerPort = 0;
  std::optional<ChildProcess> Process;
  State Current = State::Down;
};

} // namespace jayramp::platform_test
