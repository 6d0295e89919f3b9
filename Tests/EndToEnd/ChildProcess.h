#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"

#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jayramp {

/// A process that a test started. The destructor kills and reaps it.
class ChildProcess {
public:
  struct Options {
    /// File that receives standard output and standard error. Empty: output is
    /// for waitForLine(), error is inherited.
    std::string OutputPath;
    /// The kernel kills the child when the starting *thread* ends, so that a
    /// crashed test leaves nothing behind. Set false if that thread is not the
    /// main thread of the test.
    bool KillWithParentThread = true;
    /// "NAME=value" entries added to the environment.
    std::vector<std::string> Environment;
  };

  /// Runs \p Command; its first element is the path of the program.
  static auto start(std::vector<std::string> Command) -> Result<ChildProcess>;
  static auto start(std::vector<std::string> Command, const Options &Settings)
      -> Result<ChildProcess>;

  ~ChildProcess();
  ChildProcess(ChildProcess &&) noexcept;
  auto operator=(ChildProcess &&) noexcept -> ChildProcess &;

  auto processId() const -> pid_t;

  /// The rest of the first line on standard output that begins with \p Prefix.
  /// Errors: Timeout, Unavailable if the process ended without it.
  auto waitForLine(const std::string &Prefix, Milliseconds Timeout)
      -> Result<std::string>;

  /// Standard output so far.
  auto output() const -> std::string;

  auto running() -> bool;

  /// Sends \p Signal, for example SIGTERM, SIGSTOP or SIGCONT. Has no effect
  /// once the process has been reaped.
  auto sendSignal(int Signal) -> void;

  /// Exit status, or 128 + signal number; nothing after \p Timeout.
  auto waitForExit(Milliseconds Timeout) -> std::optional<int>;

  /// SIGKILL, then waits until the process has ended.
  auto kill() -> void;

private:
  class State;

  explicit ChildProcess(std::unique_ptr<State> Implementation);

  std::unique_ptr<State> Implementation;
};

} // namespace jayramp
