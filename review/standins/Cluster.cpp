#include "Cluster.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <thread>

namespace review {

using nlohmann::json;

namespace {

const std::string Service = "pool-a";
const std::string QueueHost = "jobs.example";
const std::string PathPrefix = "/jobs/";
const std::string UrgentPathPrefix = "/urgent/";
const std::string ApiKey = "key-of-tenant-a";
constexpr std::int64_t HeartbeatIntervalMs = 1500;
constexpr std::int64_t CallTimeoutMs = 3000;
constexpr std::int64_t ReadyTimeoutMs = 20000;

auto loopback(unsigned Port) -> std::string {
  return "127.0.0.1:" + std::to_string(Port);
}

} // namespace

auto sleepMs(std::int64_t DurationMs) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds(DurationMs));
}

auto Cluster::addWorkers(const std::string &Rack, unsigned Count,
                         double ClockRate, const std::string &Zone) -> void {
  if (Workers.empty())
    FirstHeartbeatMs = Output.elapsedMs();
  for (unsigned Number = 0; Number < Count; ++Number) {
    const auto Id = "i-" + Rack + "-" + std::to_string(Number);
    Workers.push_back(std::make_unique<WorkerStandIn>(
        WorkerStandIn::Settings{Id, Service, Rack, ClockRate, Zone}, Store,
        History));
  }
}

auto Cluster::publishConfiguration() -> void {
  const auto Route = [](const char *Name, const std::string &Prefix,
                        int Priority) {
    return json{{"name", Name},          {"hostname", QueueHost},
                {"path-prefix", Prefix}, {"type", "non_idempotent"},
                {"timeout-ms", 3000},    {"target-latency-ms", 1000},
                {"priority", Priority},  {"service", Service},
                {"max-attempts", 2},     {"stretch", 3.0},
                {"public", false}};
  };
  const json Pool{{"name", Service},       {"health-path", "/health"},
                  {"max-connections", 64}, {"protocol", "h1"},
                  {"tls", false},          {"admission-check", true},
                  {"standby", false}};
  const json Tenant{{"name", "tenant-a"},
                    {"api-keys", {ApiKey}},
                    {"priority", 1},
                    {"guaranteed", {{"gpu", 8}}}};
  Store.put(
      "op", "config",
      json{{"version", 1},
           {"routes",
            {Route("q-1", PathPrefix, 1), Route("q-0", UrgentPathPrefix, 0)}},
           {"services", {Pool}},
           {"limits",
            {{"max-header-bytes", 16384},
             {"max-body-bytes", 262144},
             {"header-timeout-ms", 3000},
             {"idle-timeout-ms", 15000}}},
           {"tenants", {Tenant}}}
          .dump());
}

auto Cluster::writeSettings(const std::string &Path) -> void {
  CallerAddress = loopback(freePort());
  ReadinessAddress = loopback(freePort());
  const auto Temporary = Path + ".new";
  std::ofstream(Temporary)
      << "node-name=edge-zone-a-1\nrole=entry\nmachine-class=edge\n"
      << "serves=edge\nip=127.0.0.1\nzone=zone-a\nregion=region-a\n"
      << "zones.zone-a=region-a\nlisten-addrs.frontend=" << CallerAddress
      << "\nlisten-addrs.ready=" << ReadinessAddress
      << "\nlisten-addrs.control=" << loopback(freePort())
      << "\ninternal-ports=" << freePort()
      << ",65535\nbootstrap=true\nlimits.cpu-share=0.25\nlimits.cores=1\n"
      << "limits.memory-mb=260\nlimits.max-fds=4100\nheartbeat-ms=1500\n"
      << "bounds.contact-ms=3000\nbounds.drain-ms=2000\nbounds.grace-s=6\n"
      << "bounds.config-apply-ms=2000\nbounds.revoke-ms=5000\n"
      << "bounds.hold-max-ms=10000\nbounds.stop-timeout-ms=900\n"
      << "bounds.gang-timeout-ms=3000\nbounds.finish_s=14\n"
      << "bounds.status_s=120\norders=invocation\nplatform.address="
      << Store.address() << "\nplatform.form=table\nplatform.writes-per-s=600\n"
      << "platform.reads-per-s=2000\nplatform.transaction-ms=8.0\n"
      << "platform.part-writes-per-s=150\nplatform.row-bytes=65536\n";
  std::rename(Temporary.c_str(), Path.c_str());
}

auto Cluster::waitUntilReady(std::int64_t SettleMs) -> bool {
  const auto Until = Output.elapsedMs() + ReadyTimeoutMs;
  while (Output.elapsedMs() < Until) {
    const auto Answer =
        callHttp(ReadinessAddress, {"GET", "/readiness", "entry", "", ""}, 500);
    if (Answer && Answer->Status == 200) {
      Output.write("the entry host is ready");
      sleepMs(SettleMs);
      return true;
    }
    sleepMs(100);
  }
  Output.write("the entry host did not become ready");
  return false;
}

auto Cluster::waitPastHeartbeat(std::int64_t PhaseMs) -> void {
  const auto Since = Output.elapsedMs() - FirstHeartbeatMs - PhaseMs;
  sleepMs(HeartbeatIntervalMs - Since % HeartbeatIntervalMs);
}

auto Cluster::call(const std::string &Method, const std::string &Path,
                   const std::string &Body) -> std::optional<HttpResponse> {
  return callHttp(CallerAddress, {Method, Path, QueueHost, ApiKey, Body},
                  CallTimeoutMs);
}

auto Cluster::submit(const std::string &Job, const std::string &Body,
                     bool Urgent) -> unsigned {
  const auto Path = (Urgent ? UrgentPathPrefix : PathPrefix) + Job;
  Output.write("POST " + Path + " " + Body);
  const auto Answer = call("POST", Path, Body);
  const auto Status = Answer ? Answer->Status : 0;
  Output.write("POST " + Path + " -> " + std::to_string(Status));
  return Status;
}

auto Cluster::cancel(const std::string &Job) -> void {
  const auto Answer = call("DELETE", PathPrefix + Job, "");
  Output.write("DELETE " + Job + " -> " +
               std::to_string(Answer ? Answer->Status : 0));
}

auto Cluster::stateOf(const std::string &Job) -> std::string {
  const auto Answer = call("GET", PathPrefix + Job, "");
  if (!Answer || Answer->Status != 200) {
    Output.write("GET " + Job + " -> " +
                 std::to_string(Answer ? Answer->Status : 0));
    return {};
  }
  const auto State =
      json::parse(Answer->Body, nullptr, false).value("state", std::string());
  Output.write("GET " + Job + " -> 200 " + State);
  return State;
}

} // namespace review
