#include "EntryHost.h"

#include "standins/Http.h"

#include <csignal>
#include <fstream>
#include <utility>

namespace jayramp::platform_test {

namespace {

constexpr std::int64_t ReadinessTimeoutMs = 500;

auto loopback(unsigned Port) -> std::string {
  return "127.0.0.1:" + std::to_string(Port);
}

} // namespace

EntryHost::EntryHost(Options Given)
    : Settings(std::move(Given)), CallerAddress(loopback(review::freePort())),
      ReadinessAddress(loopback(review::freePort())),
      ControlAddress(loopback(review::freePort())),
      PeerPort(review::freePort()) {}

auto EntryHost::start(Options Settings) -> Result<EntryHost> {
  EntryHost Host(std::move(Settings));
  BOOST_OUTCOME_TRYV(Host.startProcess(true));
  return Host;
}

auto EntryHost::peerAddress() const -> std::string {
  return loopback(PeerPort);
}

auto EntryHost::settingsPath() const -> std::string {
  return Settings.Folder + "/" + Settings.Name + ".conf";
}

auto EntryHost::logPath() const -> std::string {
  return Settings.Folder + "/" + Settings.Name + ".log";
}

auto EntryHost::writeSettings(bool IsFirstStart) const -> void {
  std::ofstream File(settingsPath());
  File << "node-name=" << Settings.Name
       << "\nrole=entry\nmachine-class=edge\nserves=edge\nip=127.0.0.1\nzone="
       << Settings.Zone << "\nregion=region-a\n";
  for (const auto &Zone : Settings.Zones)
    File << "zones." << Zone << "=region-a\n";
  File << "listen-addrs.frontend=" << CallerAddress
       << "\nlisten-addrs.ready=" << ReadinessAddress
       << "\nlisten-addrs.control=" << ControlAddress
       << "\ninternal-ports=" << PeerPort
       << ",65535\nbootstrap=" << (IsFirstStart ? "true" : "false")
       << "\nlimits.cpu-share=" << Settings.CpuShare
       << "\nlimits.cores=1\nlimits.memory-mb=" << Settings.MemoryMb
       << "\nlimits.max-fds=" << Settings.MaxFds
       << "\nheartbeat-ms=1500\nbounds.contact-ms=3000\n"
          "bounds.drain-ms=2000\nbounds.grace-s=6\n"
          "bounds.config-apply-ms=2000\nbounds.revoke-ms=5000\n"
          "bounds.evacuate-ms=5000\n"
          "bounds.hold-max-ms=10000\nbounds.stop-timeout-ms=900\n"
          "bounds.gang-timeout-ms=3000\nbounds.finish_s=14\n"
          "bounds.status_s=120\nbounds.far-x=3\norders=invocation\n"
          "platform.form=table\nplatform.writes-per-s=600\n"
          "platform.reads-per-s=2000\nplatform.transaction-ms=8.0\n"
          "platform.part-writes-per-s=150\nplatform.row-bytes=65536\n"
          "platform.address="
       << Settings.StoreAddress << "\n";
}

auto EntryHost::startProcess(bool IsFirstStart) -> Result<void> {
  writeSettings(IsFirstStart);
  ChildProcess::Options Options;
  Options.OutputPath = logPath();
  Options.Environment = {"JAYRAMP_NODE_FILE=" + settingsPath()};
  BOOST_OUTCOME_TRY(Started, ChildProcess::start({Settings.Daemon}, Options));
  Process.emplace(std::move(Started));
  Current = State::Running;
  return success();
}

auto EntryHost::isReady() const -> bool {
  const auto Answer =
      review::callHttp(ReadinessAddress, {"GET", "/readiness", "entry", "", ""},
                       ReadinessTimeoutMs);
  return Answer && Answer->Status == 200;
}

auto EntryHost::isAsExpected() -> bool {
  return Current == State::Down || (Process && Process->running());
}

auto EntryHost::pause() -> void {
  Process->sendSignal(SIGSTOP);
  Current = State::Paused;
}

auto EntryHost::resume() -> void {
  Process->sendSignal(SIGCONT);
  Current = State::Running;
}

auto EntryHost::kill() -> void {
  Process->kill();
  Current = State::Down;
}

auto EntryHost::startAgain() -> Result<void> { return startProcess(false); }

auto EntryHost::logLines(const std::string &Text) const
    -> std::vector<std::string> {
  std::vector<std::string> Found;
  std::ifstream File(logPath());
  for (std::string Line; std::getline(File, Line);)
    if (Line.find(Text) != std::string::npos)
      Found.push_back(Line);
  return Found;
}

} // namespace jayramp::platform_test
