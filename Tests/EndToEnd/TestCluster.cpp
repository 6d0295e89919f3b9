#include "EndToEnd/TestCluster.h"

#include "EndToEnd/HttpTestClient.h"

#include <arpa/inet.h>
#include <cpprest/json.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace jayramp {

namespace {

using web::json::value;

constexpr Milliseconds StartTimeout{20000};
constexpr Milliseconds PollInterval{20};
constexpr Milliseconds CallTimeout{5000};

const char *const DefaultConfiguration =
    R"({"accounts":[{"name":"alpha","request_share":100},)"
    R"({"name":"beta","request_share":100}]})";

auto canBindPort(unsigned short Port) -> bool {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return false;
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bool Bound = ::bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                      sizeof(Address)) == 0;
  ::close(Socket);
  return Bound;
}

/// Returns a free loopback port and adds it to \p UsedPorts. The port lies
/// below the kernel's ephemeral port range, so that no outgoing connection
/// occupies it before an entry host is restarted.
auto chooseFreePort(std::set<unsigned short> &UsedPorts) -> unsigned short {
  static std::mt19937 Random{std::random_device{}()};
  std::uniform_int_distribution<int> Ports(12000, 32000);
  for (int Attempt = 0; Attempt < 1000; ++Attempt) {
    auto Port = static_cast<unsigned short>(Ports(Random));
    if (!UsedPorts.contains(Port) && canBindPort(Port)) {
      UsedPorts.insert(Port);
      return Port;
    }
  }
  throw std::runtime_error(
      "no free loopback port found between 12000 and 32000");
}

/// Starts workers on consecutive free ports below the ephemeral port range. In
/// the ephemeral range, consecutive free ports are rare while other tests open
/// many connections.
auto startWorkers(const TestCluster::Options &ClusterOptions) -> StandIn {
  constexpr int MaximumAttempts = 50;
  for (int Attempt = 1;; ++Attempt) {
    std::set<unsigned short> UsedPorts;
    unsigned short First = chooseFreePort(UsedPorts);
    bool Free = true;
    for (std::size_t Index = 1; Free && Index < ClusterOptions.Workers; ++Index)
      Free = canBindPort(static_cast<unsigned short>(First + Index));
    if (!Free && Attempt < MaximumAttempts)
      continue;
    std::vector<std::string> Arguments{
        "--listen", "127.0.0.1:" + std::to_string(First), "--workers",
        std::to_string(ClusterOptions.Workers)};
    Arguments.insert(Arguments.end(), ClusterOptions.WorkerArguments.begin(),
                     ClusterOptions.WorkerArguments.end());
    try {
      return StandIn::startWorkers(Arguments);
    } catch (const std::runtime_error &) {
      // Another process may have bound a port since it was checked.
      if (Attempt >= MaximumAttempts)
        throw;
    }
  }
}

auto loopbackAddress(unsigned short Port) -> std::string {
  return "127.0.0.1:" + std::to_string(Port);
}

auto entryHostName(std::size_t Index) -> std::string {
  return "entry-" + std::to_string(Index);
}

auto makeTemporaryDirectory() -> std::string {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "jayramp-XXXXXX").string();
  if (!::mkdtemp(Pattern.data()))
    throw std::runtime_error("cannot create the directory " + Pattern);
  return Pattern;
}

/// Creates a named pipe if it does not exist and opens it for reading and
/// writing, without ever reading from it. Writers can therefore open the pipe
/// and get no EPIPE, but nobody drains it.
auto openUnreadPipe(const std::string &Path) -> int {
  int Descriptor = ::mkfifo(Path.c_str(), 0600) == 0 || errno == EEXIST
                       ? ::open(Path.c_str(), O_RDWR | O_CLOEXEC)
                       : -1;
  if (Descriptor < 0)
    throw std::runtime_error("cannot create the named pipe " + Path);
  return Descriptor;
}

auto getJson(const std::string &Address, const std::string &Path) -> value {
  auto Answer = HttpTestClient(Address).call("GET", Path, {}, CallTimeout);
  if (Answer.Status != 200)
    throw std::runtime_error(Address + Path + ": status " +
                             std::to_string(Answer.Status));
  return value::parse(Answer.Body);
}

/// Polls \p IsMet until it returns true. Throws std::runtime_error with the
/// last failure if that does not happen within \p Timeout.
auto waitFor(const std::string &Condition, Milliseconds Timeout,
             const std::function<bool()> &IsMet) -> void {
  TimePoint Deadline = Clock::now() + Timeout;
  std::string LastFailure;
  while (Clock::now() < Deadline) {
    try {
      if (IsMet())
        return;
      LastFailure = "condition not met";
    } catch (const std::exception &Failure) {
      LastFailure = Failure.what();
    }
    std::this_thread::sleep_for(PollInterval);
  }
  throw std::runtime_error(Condition + ": " + LastFailure + " after " +
                           std::to_string(Timeout.count()) + " ms");
}

} // namespace

TestCluster::TestCluster(const Options &ClusterOptions, StandIn Platform,
                         StandIn Workers)
    : Platform(std::move(Platform)), Workers(std::move(Workers)),
      DirectoryPath(makeTemporaryDirectory()),
      LogToUnreadPipes(ClusterOptions.LogToUnreadPipes) {
  std::set<unsigned short> UsedPorts;
  for (std::size_t Index = 0; Index < ClusterOptions.EntryHosts; ++Index) {
    Hosts.emplace_back();
    Hosts.back().ApiPort = chooseFreePort(UsedPorts);
    Hosts.back().PeerPort = chooseFreePort(UsedPorts);
  }
}

auto TestCluster::start(const Options &ClusterOptions) -> TestCluster {
  TestCluster Started(ClusterOptions, StandIn::startPlatform(),
                      startWorkers(ClusterOptions));
  Started.publishHostList(ClusterOptions);
  for (std::size_t Index = 0; Index < ClusterOptions.EntryHosts; ++Index) {
    Started.writeSettings(ClusterOptions, Index);
    Started.startEntry(Index);
  }
  for (std::size_t Index = 0; Index < ClusterOptions.EntryHosts; ++Index) {
    Started.waitUntilReady(Index, StartTimeout);
    Started.waitForMemberCount(Index, ClusterOptions.EntryHosts, StartTimeout);
  }
  Started.configure(ClusterOptions.Configuration.empty()
                        ? DefaultConfiguration
                        : ClusterOptions.Configuration);
  Started.waitUntilWorkersAreLive(ClusterOptions.Workers, StartTimeout);
  return Started;
}

TestCluster::~TestCluster() {
  Hosts.clear();
  for (int Descriptor : UnreadPipes)
    ::close(Descriptor);
  if (!DirectoryPath.empty() && !std::getenv("JAYRAMP_KEEP_LOGS")) {
    std::error_code Ignored;
    std::filesystem::remove_all(DirectoryPath, Ignored);
  }
}

auto TestCluster::publishHostList(const Options &ClusterOptions) -> void {
  std::vector<value> Entries;
  for (std::size_t Index = 0; Index < ClusterOptions.Workers; ++Index) {
    std::size_t Rack = Index / ClusterOptions.WorkersPerRack;
    auto Entry = value::object();
    Entry["name"] = value("worker-" + std::to_string(Index));
    Entry["address"] = value(workerAddress(Index));
    Entry["state"] = value("live");
    Entry["zone"] = value("zone-" + std::to_string(1 + Rack % 2));
    Entry["rack"] = value("rack-" + std::to_string(1 + Rack));
    Entries.push_back(std::move(Entry));
  }
  auto Control = value::object();
  Control["hosts"] = value::array(std::move(Entries));
  Platform.control(Control.serialize());
}

auto TestCluster::writeSettings(const Options &ClusterOptions,
                                std::size_t Index) const -> void {
  std::map<std::string, std::string> Values{
      {"host.name", entryHostName(Index)},
      {"host.availability_zone", "zone-" + std::to_string(1 + Index % 2)},
      {"api.address", entryAddress(Index)},
      {"peer.address", peerAddress(Index)},
      {"platform.table_address", platformAddress()},
      {"platform.object_address", platformAddress()},
      {"platform.host_list_address", platformAddress()},
      {"stop.grace_ms", "100"}};
  for (const auto &[Key, Value] : ClusterOptions.Settings)
    Values[Key] = Value;
  std::map<std::string, std::map<std::string, std::string>> Sections;
  for (const auto &[Key, Value] : Values) {
    auto Dot = Key.find('.');
    Sections[Key.substr(0, Dot)][Key.substr(Dot + 1)] = Value;
  }
  std::ofstream File(settingsPath(Index));
  for (const auto &[Section, Entries] : Sections) {
    File << Section << ":\n";
    for (const auto &[Key, Value] : Entries)
      File << "  " << Key << ": " << Value << "\n";
  }
}

auto TestCluster::entryAddress(std::size_t Index) const -> std::string {
  return loopbackAddress(Hosts.at(Index).ApiPort);
}

auto TestCluster::peerAddress(std::size_t Index) const -> std::string {
  return loopbackAddress(Hosts.at(Index).PeerPort);
}

auto TestCluster::platformAddress() const -> std::string {
  return Platform.address();
}

auto TestCluster::workerAddress(std::size_t Index) const -> std::string {
  return Workers.address(static_cast<int>(Index));
}

auto TestCluster::entry(std::size_t Index) -> ChildProcess & {
  return Hosts.at(Index).Process.value();
}

auto TestCluster::settingsPath(std::size_t Index) const -> std::string {
  return DirectoryPath + "/" + entryHostName(Index) + ".yaml";
}

auto TestCluster::log(std::size_t Index) const -> std::string {
  std::ifstream File(DirectoryPath + "/" + entryHostName(Index) + ".log");
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

auto TestCluster::stop(std::size_t Index, Milliseconds Timeout)
    -> std::optional<int> {
  entry(Index).sendSignal(SIGTERM);
  return entry(Index).waitForExit(Timeout);
}

auto TestCluster::kill(std::size_t Index) -> void { entry(Index).kill(); }

auto TestCluster::suspend(std::size_t Index) -> void {
  entry(Index).sendSignal(SIGSTOP);
}

auto TestCluster::resume(std::size_t Index) -> void {
  entry(Index).sendSignal(SIGCONT);
}

auto TestCluster::startEntry(std::size_t Index) -> void {
  ChildProcess::Options Settings;
  Settings.OutputPath = DirectoryPath + "/" + entryHostName(Index) + ".log";
  if (LogToUnreadPipes)
    UnreadPipes.push_back(openUnreadPipe(Settings.OutputPath));
  Hosts.at(Index).Process.reset();
  auto Started = ChildProcess::start(
      {JAYRAMP_DAEMON, "--settings", settingsPath(Index)}, Settings);
  if (!Started)
    throw std::runtime_error(Started.error().message());
  Hosts.at(Index).Process.emplace(std::move(Started.value()));
}

auto TestCluster::restart(std::size_t Index) -> void {
  kill(Index);
  startEntry(Index);
  waitUntilReady(Index, StartTimeout);
}

auto TestCluster::waitUntilReady(std::size_t Index, Milliseconds Timeout)
    -> void {
  waitFor(entryHostName(Index) + " answers that it is ready", Timeout, [&] {
    return HttpTestClient(entryAddress(Index))
               .call("GET", "/v1/ready", {}, CallTimeout)
               .Status == 200;
  });
}

auto TestCluster::waitForMemberCount(std::size_t Index, std::size_t Members,
                                     Milliseconds Timeout) -> void {
  waitFor("the view of " + entryHostName(Index) + " has " +
              std::to_string(Members) + " members",
          Timeout, [&] {
            auto Status = getJson(entryAddress(Index), "/v1/status");
            return Status.has_array_field("members") &&
                   Status.at("members").size() == Members;
          });
}

auto TestCluster::waitUntilWorkersAreLive(std::size_t Count,
                                          Milliseconds Timeout) -> void {
  waitFor("owners report their workers as live", Timeout, [&] {
    std::set<std::string> LiveWorkers;
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      auto Status = getJson(entryAddress(Index), "/v1/status");
      if (!Status.has_array_field("workers"))
        continue;
      for (const auto &Worker : Status.at("workers").as_array())
        if (Worker.has_string_field("owner") &&
            Worker.at("owner").as_string() == entryHostName(Index) &&
            Worker.has_field("slots") &&
            Worker.at("state").as_string() == "LIVE")
          LiveWorkers.insert(Worker.at("name").as_string());
    }
    return LiveWorkers.size() == Count;
  });
}

auto TestCluster::configure(const std::string &Document) -> void {
  waitFor("the configuration is accepted", StartTimeout, [&] {
    auto Current = getJson(entryAddress(0), "/v1/configuration");
    auto Change = value::object();
    Change["expected_version"] =
        Current.has_field("version") ? Current.at("version") : value("0");
    Change["document"] = value::parse(Document);
    auto Answer =
        HttpTestClient(entryAddress(0))
            .call("PUT", "/v1/configuration", Change.serialize(), CallTimeout);
    if (Answer.Status != 200)
      throw std::runtime_error("status " + std::to_string(Answer.Status) +
                               ": " + Answer.Body);
    auto Report = value::parse(Answer.Body);
    return Report.has_boolean_field("accepted") &&
           Report.at("accepted").as_bool();
  });
}

} // namespace jayramp
