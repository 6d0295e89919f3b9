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

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;
constexpr int ExitCut = 3;

auto stopSignals() -> sigset_t {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

// The first signal begins a planned stop, the second ends it early.
auto watchSignals(jayramp::EntryHost &Host, const sigset_t &Signals) -> void {
  int Received = 0;
  sigwait(&Signals, &Received);
  Host.beginPlannedStop();
  sigwait(&Signals, &Received);
  Host.endStopEarly();
}

// Each caller needs a descriptor. The usual soft limit of 1,024 lets as many
// slow callers keep out all others.
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
  // Blocked before any thread starts, so that only the watcher receives them.
  sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  raiseDescriptorLimit();
  jayramp::initializeHttpThreads(Settings.threads().Http);
  auto Started = jayramp::EntryHost::start(Settings);
  if (!Started) {
    jayramp::logEvent(jayramp::LogLevel::Error, "start_failed",
                      {{"error", Started.error().message()}});
    return ExitFailure;
  }
  auto &Host = *Started.value();
  std::thread Watcher([&Host, &Signals] { watchSignals(Host, Signals); });
  Watcher.detach();
  jayramp::logEvent(jayramp::LogLevel::Info, "started",
                    {{"api", Settings.api().Address.text()},
                     {"peer", Settings.peer().Address.text()}});
  std::size_t Lost = Host.run();
  Started.value().reset();
  return Lost == 0 ? 0 : ExitCut;
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  cxxopts::Options Options("jayrampd", "Entry host daemon of jayramp");
  Options.add_options()("s,settings", "settings file in YAML",
                        cxxopts::value<std::string>())(
      "check-config", "check the settings file and exit")(
      "h,help", "show this help")("version", "show the version");
  try {
    auto Given = Options.parse(ArgumentCount, Arguments);
    if (Given.count("help") != 0) {
      std::cout << Options.help() << "\n";
      return 0;
    }
    if (Given.count("version") != 0) {
      std::cout << "jayrampd " JAYRAMP_VERSION "\n";
      return 0;
    }
    if (Given.count("settings") == 0) {
      std::cerr << "jayrampd: --settings is missing; give the settings file\n";
      return ExitUsage;
    }
    auto Loaded =
        jayramp::DaemonSettings::load(Given["settings"].as<std::string>());
    if (!Loaded) {
      for (const auto &Fault : Loaded.error())
        std::cerr << Fault.message() << "\n";
      return ExitUsage;
    }
    if (Given.count("check-config") != 0) {
      std::cout << "settings are valid\n";
      return 0;
    }
    return runHost(Loaded.value());
  } catch (const cxxopts::exceptions::exception &Failure) {
    std::cerr << "jayrampd: " << Failure.what() << "; see --help\n";
    return ExitUsage;
  }
}
