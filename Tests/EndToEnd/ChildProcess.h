#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"

#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jayramp {

/// A child process of a test. The destructor kills and reaps it.
class ChildProcess {
public:
  struct Options {
    /// File to which standard output and standard error are appended. If empty,
    /// waitForLine() and output() read standard output, and standard error is
    /// inherited.
    std::string OutputPath;
    /// If true, the kernel kills the child when the thread that started it
    /// ends, so that a crashed test leaves no processes behind. Must be false
    /// if start() is called on a thread that ends before the child should.
    bool KillWithParentThread = true;
    /// "NAME=value" entries that are added to the inherited environment.
    std::vector<std::string> Environment;
  };

  /// Starts \p Command, whose first element is the path of the program. Errors:
  /// Internal if the pipe or the process cannot be created.
  static auto start(std::vector<std::string> Command) -> Result<ChildProcess>;
  static auto start(std::vector<std::string> Command, const Options &Settings)
      -> Result<ChildProcess>;

  ~ChildProcess();
  ChildProcess(ChildProcess &&) noexcept;
  auto operator=(ChildProcess &&) noexcept -> ChildProcess &;

  auto processId() const -> pid_t;

  /// Returns the rest of the first line on standard output that begins with
  /// \p Prefix. Errors: Timeout if no such line was written in time,
  /// Unavailable if standard output ended without one.
  auto waitForLine(const std::string &Prefix, Milliseconds Timeout)
      -> Result<std::string>;

  /// Returns what the process has written to standard output so far.
  auto output() const -> std::string;

  auto running() -> bool;

  /// Sends \p Signal, for example SIGTERM, SIGSTOP or SIGCONT. Has no effect
  /// after the process has ended.
  auto sendSignal(int Signal) -> void;

  /// Returns the exit status, or 128 plus the number of the signal that ended
  /// the process. Returns nothing if the process still runs after \p Timeout.
  auto waitForExit(Milliseconds Timeout) -> std::optional<int>;

  /// Sends SIGKILL and waits until the process has ended.
  auto kill() -> void;

private:
  class State;

  explicit ChildProcess(std::unique_ptr<State> Implementation);

  std::unique_ptr<State> Implementation;
};

} // namespace jayramp
