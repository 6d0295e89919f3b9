#include "EntryHost.h"

#include "Http.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace jayramp::review {

EntryHost::EntryHost(EntryHostPlace Given)
    : Place(std::move(Given)), CallerPort(freePort(Place.Ip)),
      ReadyPort(freePort(Place.Ip)), ControlPort(freePort(Place.Ip)),
      InternalPort(freePort(Place.Ip)) {
  const auto At = [this](int Port) {
    return Place.Ip + ":" + std::to_string(Port) + "\n";
  };
  std::ofstream Settings(Place.Folder + "/" + Place.Name + ".conf");
  Settings
      << "node-name=" << Place.Name
      << "\nrole=entry\nmachine-class=edge\nserves=edge\nip=" << Place.Ip
      << "\nzone=z-a\nregion=z\nzones.z-a=z"
      << "\nlisten-addrs.frontend=" << At(CallerPort)
      << "listen-addrs.ready=" << At(ReadyPort)
      << "listen-addrs.control=" << At(ControlPort)
      << "internal-ports=" << InternalPort << "," << InternalPort + 15
      << "\nbootstrap=true\nlimits.cpu-share=0.25\nlimits.cores=1"
         "\nlimits.memory-mb=260\nlimits.max-fds=4100"
         "\nlimits.link-mbps=1000.0\nlimits.disk-mb=0"
         "\ndiscovery=platform\nheartbeat-ms=1500"
         "\ncontracts=base,drain,config,cost,recover,sched,tenants,platform"
         "\nbounds.contact-ms=3000\nbounds.ack-ms=4000"
         "\nbounds.drain-ms=2000\nbounds.grace-s=6"
         "\nbounds.loss-slack-ms=200\nbounds.config-apply-ms=2000"
         "\nbounds.downgrade-slack-ms=250\nbounds.revoke-ms=5000"
         "\nbounds.recovery-s=12\nbounds.hold-max-ms=10000"
         "\nbounds.stop-timeout-ms=900\nbounds.gang-timeout-ms=3000"
         "\nbounds.cancel_ms=3000\nbounds.visible_ms=3000"
         "\nbounds.finish_s=14\nbounds.status_s=120"
         "\nbounds.checkpoint-s=1\norders=invocation"
      << "\nplatform.address=" << Place.StoreAddress
      << "\nplatform.form=table\nplatform.writes-per-s=600"
         "\nplatform.reads-per-s=2000\nplatform.transaction-ms=8.0"
         "\nplatform.part-writes-per-s=150\nplatform.row-bytes=65536"
         "\nplatform.across=false\nplatform.retention-s=20\n";
}

EntryHost::~EntryHost() { kill(); }

auto EntryHost::start() -> void {
  const auto Settings = Place.Folder + "/" + Place.Name + ".conf";
  const auto Log = Place.Folder + "/" + Place.Name + ".log";
  Process = ::fork();
  if (Process < 0)
    throw std::runtime_error("cannot start a process");
  if (Process > 0)
    return;
  const int Output =
      ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  ::execl(Place.Daemon.c_str(), Place.Daemon.c_str(), "--settings",
          Settings.c_str(), nullptr);
  ::_exit(127);
}

auto EntryHost::signal(int Signal) const -> void {
  if (Process > 0)
    ::kill(Process, Signal);
}

auto EntryHost::kill() -> void {
  if (Process <= 0)
    return;
  ::kill(Process, SIGCONT);
  ::kill(Process, SIGKILL);
  ::waitpid(Process, nullptr, 0);
  Process = -1;
}

auto EntryHost::hasEnded() -> bool {
  if (Process <= 0 || ::waitpid(Process, nullptr, WNOHANG) != Process)
    return false;
  Process = -1;
  return true;
}

auto EntryHost::residentKb() const -> long {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmRSS:"))
      return std::stol(Line.substr(6));
  return 0;
}

auto EntryHost::isReady() const -> bool {
  const auto Answer =
      callHttp(Place.Ip + ":" + std::to_string(ReadyPort), "GET", "/readiness",
               {{"Host", "ready"}}, "", 500);
  return Answer && Answer->Status == 200;
}

auto EntryHost::callers() const -> std::string {
  return Place.Ip + ":" + std::to_string(CallerPort);
}

auto EntryHost::log() const -> std::string {
  std::ifstream File(Place.Folder + "/" + Place.Name + ".log");
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace jayramp::review
