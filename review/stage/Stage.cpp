#include "Stage.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <thread>

namespace jayramp::review {

using nlohmann::json;

namespace {

constexpr const char *StoreIp = "127.0.0.1";
constexpr const char *HostName = "jobs.example";
constexpr int CallTimeoutMs = 3000;
constexpr int ReadyTimeoutMs = 20'000;
constexpr int PollMs = 50;

} // namespace

Stage::Stage(const std::vector<std::string> &Arguments)
    : Daemon(Arguments.at(0)), Folder(Arguments.at(2)),
      Log(Arguments.at(1) + "/record.txt"), Rows(StoreIp) {}

auto Stage::addHosts(std::size_t Count) -> void {
  for (std::size_t Number = 1; Number <= Count; ++Number) {
    Hosts.push_back(std::make_unique<EntryHost>(
        EntryHostPlace{Daemon, Folder, "edge-" + std::to_string(Number),
                       "127.0.1." + std::to_string(Number), Rows.address()}));
    Hosts.back()->start();
  }
}

auto Stage::addWorkers(std::size_t Count, const WorkerKind &Kind) -> void {
  for (std::size_t Added = 0; Added < Count; ++Added) {
    const auto Number = Workers.size() + 1;
    Workers.push_back(std::make_unique<Worker>(
        Rows, Log, Seen, "i-7f3a" + std::to_string(1000 + Number),
        "127.0.2." + std::to_string(Number)));
    Workers.back()->start(Kind);
  }
}

auto Stage::configure(const std::vector<Route> &Routes,
                      const std::vector<std::string> &Services) -> void {
  Version += 3;
  json Content{{"version", Version},
               {"routes", json::array()},
               {"services", json::array()},
               {"limits",
                {{"max-header-bytes", 16384},
                 {"max-body-bytes", 262144},
                 {"header-timeout-ms", 3000},
                 {"idle-timeout-ms", 15000}}},
               {"tenants", json::array()}};
  for (const auto &[Name, Key] :
       {std::pair("tenant-1", FirstKey), std::pair("tenant-2", SecondKey)})
    Content["tenants"].push_back({{"name", Name},
                                  {"api-keys", {Key}},
                                  {"priority", 1},
                                  {"guaranteed", {{"gpu", 8}}}});
  for (const auto &Each : Routes)
    Content["routes"].push_back({{"name", Each.Name},
                                 {"hostname", HostName},
                                 {"path-prefix", Each.Prefix},
                                 {"type", "non_idempotent"},
                                 {"timeout-ms", 3000},
                                 {"target-latency-ms", 1000},
                                 {"priority", Each.Priority},
                                 {"service", Each.Service},
                                 {"max-attempts", 4},
                                 {"stretch", 3.0},
                                 {"public", false}});
  for (const auto &Name : Services)
    Content["services"].push_back({{"name", Name},
                                   {"health-path", "/health"},
                                   {"max-connections", 64},
                                   {"protocol", "h1"},
                                   {"tls", false},
                                   {"admission-check", true},
                                   {"standby", false}});
  Rows.put("op", "config", Content.dump());
  Log.add("configuration " + std::to_string(Version) +
          " acknowledged: " + Content["routes"].dump());
}

auto Stage::waitUntilReady(std::size_t Shards) -> bool {
  for (int Waited = 0; Waited < ReadyTimeoutMs; Waited += PollMs) {
    std::size_t Recovered = 0;
    bool AllReady = true;
    for (const auto &Host : Hosts) {
      AllReady = AllReady && Host->isReady();
      const auto Text = Host->log();
      for (auto At = Text.find("shard-recovered"); At != std::string::npos;
           At = Text.find("shard-recovered", At + 1))
        ++Recovered;
    }
    if (AllReady && Recovered >= Shards) {
      // The owner asks the workers next.
      pause(1000);
      Log.add("ready");
      return true;
    }
    pause(PollMs);
  }
  Log.add("not ready in time");
  return false;
}

auto Stage::call(const EntryHost &Host, const std::string &Method,
                 const std::string &Path, const std::string &Body,
                 const std::string &Key) -> std::optional<Response> {
  auto Answer = callHttp(Host.callers(), Method, Path,
                         {{"Host", HostName},
                          {"Authorization", "Bearer " + Key},
                          {"Deadline-Ms", std::to_string(CallTimeoutMs)}},
                         Body, CallTimeoutMs);
  Log.add(Host.name() + " " + Method + " " + Path + " -> " +
          (Answer ? std::to_string(Answer->Status) + " " + Answer->Body
                  : std::string("no answer")));
  return Answer;
}

auto Stage::submit(const std::string &Path, const std::string &Body) -> bool {
  for (std::size_t Attempt = 0; Attempt < 5; ++Attempt) {
    const auto Answer =
        call(*Hosts[Attempt % Hosts.size()], "POST", Path, Body);
    if (Answer && Answer->Status == 200)
      return true;
    if (Answer && Answer->Status >= 400 && Answer->Status < 500 &&
        Answer->Status != 429)
      return false;
    pause(500);
  }
  return false;
}

auto Stage::stateOf(const EntryHost &Host, const std::string &Path)
    -> std::string {
  const auto Answer = call(Host, "GET", Path);
  if (!Answer)
    return "no answer";
  if (Answer->Status != 200)
    return std::to_string(Answer->Status);
  return json::parse(Answer->Body).value("state", "");
}

auto Stage::ownerOf(const std::string &Service) -> std::optional<std::size_t> {
  std::optional<std::size_t> Owner;
  long Highest = -1;
  for (std::size_t Position = 0; Position < Hosts.size(); ++Position) {
    std::istringstream Lines(Hosts[Position]->log());
    for (std::string Line; std::getline(Lines, Line);) {
      if (Line.find("shard-taken") == std::string::npos ||
          Line.find(Service) == std::string::npos)
        continue;
      const auto At = Line.find_first_of("0123456789", Line.find("token"));
      if (At == std::string::npos)
        continue;
      if (const auto Token = std::stol(Line.substr(At)); Token > Highest) {
        Highest = Token;
        Owner = Position;
      }
    }
  }
  return Owner;
}

auto Stage::end() -> void {
  for (const auto &Host : Hosts)
    Host->kill();
  for (const auto &Each : Workers)
    Each->crash();
  Rows.stop();
}

auto Stage::pause(int Ms) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

auto Stage::hasTrouble() -> bool {
  const auto *Setting = std::getenv("TROUBLE");
  return !Setting || std::string(Setting) != "0";
}

} // namespace jayramp::review
