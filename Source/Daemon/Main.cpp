#include "Base/EventLog.h"
#include "Daemon/EntryHost.h"
#include "Platform/HttpRuntime.h"
#include "Settings/DaemonSettings.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>
#include <pthread.h>
#include <sys/resource.h>
#include <thread>

namespace {

// Exit statuses besides 0.
constexpr int ExitStartFailed = 1;
constexpr int ExitUsageError = 2;
constexpr int ExitRequestsInterrupted = 3;

/// Returns the signals that request a planned stop.
auto stopSignals() -> sigset_t {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

/// Waits for stop signals: the first begins a planned stop, the second ends it
/// early.
auto handleStopSignals(jayramp::EntryHost &Host, const sigset_t &Signals)
    -> void {
  int Received = 0;
  sigwait(&Signals, &Received);
  Host.beginPlannedStop();
  sigwait(&Signals, &Received);
  Host.endStopEarly();
}

/// Raises the soft limit of file descriptors to the hard limit. Each connection
/// of a caller needs a descriptor; with the usual soft limit of 1,024 that many
/// slow callers would prevent all others from connecting.
auto raiseDescriptorLimit() -> void {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Limit.rlim_cur = Limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &Limit);
}

auto runHost(const jayramp::DaemonSettings &Settings) -> int {
  jayramp::initializeLog(Settings.host().Name, Settings.log().Level,
                         {.Limits = Settings.log().Limits});
  // Threads inherit the signal mask. The signals are blocked before any thread
  // starts, so that only the signal thread receives them.
  sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  raiseDescriptorLimit();
  jayramp::initializeHttpThreads(Settings.threads().Http);
  auto Started = jayramp::EntryHost::start(Settings);
  if (!Started) {
    jayramp::logEvent(jayramp::LogLevel::Error, "start_failed",
                      {{"error", Started.error().message()}});
    return ExitStartFailed;
  }
  auto &Host = *Started.value();
  std::thread SignalThread(
      [&Host, &Signals] { handleStopSignals(Host, Signals); });
  SignalThread.detach();
  jayramp::logEvent(jayramp::LogLevel::Info, "started",
                    {{"api", Settings.api().Address.text()},
                     {"peer", Settings.peer().Address.text()}});
  std::size_t Interrupted = Host.run();
  Started.value().reset();
  return Interrupted == 0 ? 0 : ExitRequestsInterrupted;
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  cxxopts::Options Options("jayrampd", "Entry host daemon of jayramp");
  Options.add_options()("s,settings", "settings file in YAML",
                        cxxopts::value<std::string>())(
      "check-config", "check the settings file and exit")(
      "h,help", "show this help")("version", "show the version");
  try {
    auto Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help() << "\n";
      return 0;
    }
    if (Parsed.count("version") != 0) {
      std::cout << "jayrampd " JAYRAMP_VERSION "\n";
      return 0;
    }
    if (Parsed.count("settings") == 0) {
      std::cerr << "jayrampd: --settings is missing; give the path of a "
                   "settings file in YAML\n";
      return ExitUsageError;
    }
    auto Loaded =
        jayramp::DaemonSettings::load(Parsed["settings"].as<std::string>());
    if (!Loaded) {
      for (const auto &InvalidSetting : Loaded.error())
        std::cerr << InvalidSetting.message() << "\n";
      return ExitUsageError;
    }
    if (Parsed.count("check-config") != 0) {
      std::cout << "settings are valid\n";
      return 0;
    }
    return runHost(Loaded.value());
  } catch (const cxxopts::exceptions::exception &Failure) {
    std::cerr << "jayrampd: " << Failure.what() << "; see --help\n";
    return ExitUsageError;
  }
}
