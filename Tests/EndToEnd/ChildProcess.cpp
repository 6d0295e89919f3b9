#include "EndToEnd/ChildProcess.h"

#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <mutex>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace jayramp {

class ChildProcess::State {
public:
  State(pid_t Process, int Output)
      : Process(Process), Reader([this, Output] { readOutput(Output); }) {}

  ~State() {
    kill();
    Reader.join();
  }

  State(const State &) = delete;
  auto operator=(const State &) -> State & = delete;

  /// Collects the exit status. Returns false if the process still runs.
  auto reap(bool Block) -> bool {
    if (ExitStatus)
      return true;
    int Status = 0;
    if (::waitpid(Process, &Status, Block ? 0 : WNOHANG) != Process)
      return false;
    constexpr int SignalExitStatusBase = 128;
    ExitStatus = WIFEXITED(Status) ? WEXITSTATUS(Status)
                                   : SignalExitStatusBase + WTERMSIG(Status);
    return true;
  }

  auto kill() -> void {
    if (reap(false))
      return;
    ::kill(Process, SIGKILL);
    reap(true);
  }

  const pid_t Process;
  std::optional<int> ExitStatus;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::string Output;
  bool OutputEnded = false;

private:
  auto readOutput(int Descriptor) -> void {
    char Buffer[4096];
    for (;;) {
      ssize_t Count = ::read(Descriptor, Buffer, sizeof(Buffer));
      if (Count < 0 && errno == EINTR)
        continue;
      std::lock_guard Lock(Mutex);
      if (Count > 0)
        Output.append(Buffer, static_cast<std::size_t>(Count));
      else
        OutputEnded = true;
      Changed.notify_all();
      if (Count <= 0)
        break;
    }
    ::close(Descriptor);
  }

  std::thread Reader;
};

namespace {

/// Returns makePointerArray to \p Texts with a terminating null pointer, as
/// execve() expects them.
auto makePointerArray(std::vector<std::string> &Texts) -> std::vector<char *> {
  std::vector<char *> Pointers;
  for (std::string &Text : Texts)
    Pointers.push_back(Text.data());
  Pointers.push_back(nullptr);
  return Pointers;
}

/// Returns the rest of the first complete line of \p Text that begins with
/// \p Prefix.
auto findLine(const std::string &Text, const std::string &Prefix)
    -> std::optional<std::string> {
  std::size_t Start = 0;
  for (;;) {
    auto End = Text.find('\n', Start);
    if (End == std::string::npos)
      return std::nullopt;
    if (Text.compare(Start, Prefix.size(), Prefix) == 0)
      return Text.substr(Start + Prefix.size(), End - Start - Prefix.size());
    Start = End + 1;
  }
}

auto systemError(const std::string &FailedCall) -> Error {
  return Error::make(
      ErrorKind::Internal, FailedCall, std::strerror(errno),
      "check the process and descriptor limits of the test machine");
}

} // namespace

auto ChildProcess::start(std::vector<std::string> Command)
    -> Result<ChildProcess> {
  return start(std::move(Command), Options());
}

auto ChildProcess::start(std::vector<std::string> Command,
                         const Options &Settings) -> Result<ChildProcess> {
  int Pipe[2];
  if (::pipe2(Pipe, O_CLOEXEC) != 0)
    return systemError("pipe");
  auto Arguments = makePointerArray(Command);
  auto EnvironmentEntries = Settings.Environment;
  for (char **Entry = ::environ; *Entry; ++Entry)
    EnvironmentEntries.emplace_back(*Entry);
  auto Environment = makePointerArray(EnvironmentEntries);
  pid_t Parent = ::getpid();
  pid_t Process = ::fork();
  if (Process == 0) {
    // Between fork() and exec(), only async-signal-safe calls are allowed,
    // because the test process has several threads.
    if (Settings.KillWithParentThread) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != Parent)
        ::_exit(127);
    }
    ::dup2(Pipe[1], STDOUT_FILENO);
    if (!Settings.OutputPath.empty()) {
      int File = ::open(Settings.OutputPath.c_str(),
                        O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      if (File >= 0) {
        ::dup2(File, STDOUT_FILENO);
        ::dup2(File, STDERR_FILENO);
      }
    }
    ::execve(Arguments[0], Arguments.data(), Environment.data());
    ::_exit(127);
  }
  ::close(Pipe[1]);
  if (Process < 0) {
    ::close(Pipe[0]);
    return systemError("fork");
  }
  return ChildProcess(std::make_unique<State>(Process, Pipe[0]));
}

ChildProcess::ChildProcess(std::unique_ptr<State> Implementation)
    : Implementation(std::move(Implementation)) {}

ChildProcess::~ChildProcess() = default;
ChildProcess::ChildProcess(ChildProcess &&) noexcept = default;
auto ChildProcess::operator=(ChildProcess &&) noexcept
    -> ChildProcess & = default;

auto ChildProcess::processId() const -> pid_t {
  return Implementation->Process;
}

auto ChildProcess::waitForLine(const std::string &Prefix, Milliseconds Timeout)
    -> Result<std::string> {
  std::unique_lock Lock(Implementation->Mutex);
  TimePoint Deadline = Clock::now() + Timeout;
  for (;;) {
    if (auto Found = findLine(Implementation->Output, Prefix))
      return *Found;
    if (Implementation->OutputEnded)
      return Error::make(ErrorKind::Unavailable,
                         "standard output of the child process",
                         "it ended without a line that begins with " + Prefix,
                         "check the standard error of the child process");
    if (Implementation->Changed.wait_until(Lock, Deadline) ==
        std::cv_status::timeout)
      return Error::make(ErrorKind::Timeout,
                         "standard output of the child process",
                         "no line that begins with " + Prefix,
                         "check the standard error of the child process");
  }
}

auto ChildProcess::output() const -> std::string {
  std::lock_guard Lock(Implementation->Mutex);
  return Implementation->Output;
}

auto ChildProcess::running() -> bool { return !Implementation->reap(false); }

auto ChildProcess::sendSignal(int Signal) -> void {
  if (!Implementation->reap(false))
    ::kill(Implementation->Process, Signal);
}

auto ChildProcess::waitForExit(Milliseconds Timeout) -> std::optional<int> {
  constexpr Milliseconds Interval{5};
  TimePoint Deadline = Clock::now() + Timeout;
  while (!Implementation->reap(false)) {
    if (Clock::now() >= Deadline)
      return std::nullopt;
    std::this_thread::sleep_for(Interval);
  }
  return Implementation->ExitStatus;
}

auto ChildProcess::kill() -> void { Implementation->kill(); }

} // namespace jayramp
