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

auto canBind(unsigned short Port) -> bool {
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

/// Below the range from which the kernel takes ports of outgoing connections,
/// so that the port is still free when an entry host starts again.
auto freePort(std::set<unsigned short> &Taken) -> unsigned short {
  static std::mt19937 Random{std::random_device{}()};
  std::uniform_int_distribution<int> Ports(12000, 32000);
  for (int Try = 0; Try < 1000; ++Try) {
    auto Port = static_cast<unsigned short>(Ports(Random));
    if (!Taken.contains(Port) && canBind(Port)) {
      Taken.insert(Port);
      return Port;
    }
  }
  throw std::runtime_error("no free loopback port");
}

/// Starts workers on consecutive free ports. The range of outgoing connections
/// has no such run of ports while other tests make many connections.
auto startWorkers(const TestCluster::Options &Wanted) -> StandIn {
  constexpr int MostTries = 50;
  for (int Try = 1;; ++Try) {
    std::set<unsigned short> Taken;
    unsigned short First = freePort(Taken);
    bool Free = true;
    for (std::size_t Index = 1; Free && Index < Wanted.Workers; ++Index)
      Free = canBind(static_cast<unsigned short>(First + Index));
    if (!Free && Try < MostTries)
      continue;
    std::vector<std::string> Arguments{
        "--listen", "127.0.0.1:" + std::to_string(First), "--workers",
        std::to_string(Wanted.Workers)};
    Arguments.insert(Arguments.end(), Wanted.WorkerArguments.begin(),
                     Wanted.WorkerArguments.end());
    try {
      return StandIn::startWorkers(Arguments);
    } catch (const std::runtime_error &) {
      // Another process may have taken a port in the meantime.
      if (Try >= MostTries)
        throw;
    }
  }
}

auto loopback(unsigned short Port) -> std::string {
  return "127.0.0.1:" + std::to_string(Port);
}

auto nameOf(std::size_t Index) -> std::string {
  return "entry-" + std::to_string(Index);
}

auto makeFolder() -> std::string {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "jayramp-XXXXXX").string();
  if (!::mkdtemp(Pattern.data()))
    throw std::runtime_error("cannot make " + Pattern);
  return Pattern;
}

/// Makes a named pipe whose writers never fail and never find a reader.
auto openUnread(const std::string &Path) -> int {
  int Descriptor = ::mkfifo(Path.c_str(), 0600) == 0 || errno == EEXIST
                       ? ::open(Path.c_str(), O_RDWR | O_CLOEXEC)
                       : -1;
  if (Descriptor < 0)
    throw std::runtime_error("cannot make the pipe " + Path);
  return Descriptor;
}

auto getJson(const std::string &Address, const std::string &Path) -> value {
  auto Answer = HttpTestClient(Address).call("GET", Path, {}, CallTimeout);
  if (Answer.Status != 200)
    throw std::runtime_error(Address + Path + ": status " +
                             std::to_string(Answer.Status));
  return value::parse(Answer.Body);
}

auto waitFor(const std::string &What, Milliseconds Timeout,
             const std::function<bool()> &Holds) -> void {
  TimePoint Deadline = Clock::now() + Timeout;
  std::string Last;
  while (Clock::now() < Deadline) {
    try {
      if (Holds())
        return;
      Last = "does not hold";
    } catch (const std::exception &Failure) {
      Last = Failure.what();
    }
    std::this_thread::sleep_for(PollInterval);
  }
  throw std::runtime_error(What + ": " + Last + " after " +
                           std::to_string(Timeout.count()) + " ms");
}

} // namespace

TestCluster::TestCluster(const Options &Wanted, StandIn Platform,
                         StandIn Workers)
    : Platform(std::move(Platform)), Workers(std::move(Workers)),
      Folder(makeFolder()), LogToUnreadPipes(Wanted.LogToUnreadPipes) {
  std::set<unsigned short> Taken;
  for (std::size_t Index = 0; Index < Wanted.EntryHosts; ++Index) {
    Hosts.emplace_back();
    Hosts.back().ApiPort = freePort(Taken);
    Hosts.back().PeerPort = freePort(Taken);
  }
}

auto TestCluster::start(const Options &Wanted) -> TestCluster {
  TestCluster Started(Wanted, StandIn::startPlatform(), startWorkers(Wanted));
  Started.listWorkers(Wanted);
  for (std::size_t Index = 0; Index < Wanted.EntryHosts; ++Index) {
    Started.writeSettings(Wanted, Index);
    Started.startEntry(Index);
  }
  for (std::size_t Index = 0; Index < Wanted.EntryHosts; ++Index) {
    Started.waitUntilReady(Index, StartTimeout);
    Started.waitForMemberCount(Index, Wanted.EntryHosts, StartTimeout);
  }
  Started.configure(Wanted.Configuration.empty() ? DefaultConfiguration
                                                 : Wanted.Configuration);
  Started.waitWorkersSeen(Wanted.Workers, StartTimeout);
  return Started;
}

TestCluster::~TestCluster() {
  Hosts.clear();
  for (int Descriptor : Unread)
    ::close(Descriptor);
  if (!Folder.empty() && !std::getenv("JAYRAMP_KEEP_LOGS")) {
    std::error_code Ignored;
    std::filesystem::remove_all(Folder, Ignored);
  }
}

auto TestCluster::listWorkers(const Options &Wanted) -> void {
  std::vector<value> Listed;
  for (std::size_t Index = 0; Index < Wanted.Workers; ++Index) {
    std::size_t Rack = Index / Wanted.WorkersPerRack;
    auto Entry = value::object();
    Entry["name"] = value("worker-" + std::to_string(Index));
    Entry["address"] = value(workerAddress(Index));
    Entry["state"] = value("live");
    Entry["zone"] = value("zone-" + std::to_string(1 + Rack % 2));
    Entry["rack"] = value("rack-" + std::to_string(1 + Rack));
    Listed.push_back(std::move(Entry));
  }
  auto Control = value::object();
  Control["hosts"] = value::array(std::move(Listed));
  Platform.control(Control.serialize());
}

auto TestCluster::writeSettings(const Options &Wanted, std::size_t Index) const
    -> void {
  std::map<std::string, std::string> Values{
      {"host.name", nameOf(Index)},
      {"host.availability_zone", "zone-" + std::to_string(1 + Index % 2)},
      {"api.address", entryAddress(Index)},
      {"peer.address", peerAddress(Index)},
      {"platform.table_address", platformAddress()},
      {"platform.object_address", platformAddress()},
      {"platform.host_list_address", platformAddress()},
      {"stop.grace_ms", "100"}};
  for (const auto &[Key, Value] : Wanted.Settings)
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
  return loopback(Hosts.at(Index).ApiPort);
}

auto TestCluster::peerAddress(std::size_t Index) const -> std::string {
  return loopback(Hosts.at(Index).PeerPort);
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
  return Folder + "/" + nameOf(Index) + ".yaml";
}

auto TestCluster::log(std::size_t Index) const -> std::string {
  std::ifstream File(Folder + "/" + nameOf(Index) + ".log");
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
  Settings.OutputPath = Folder + "/" + nameOf(Index) + ".log";
  if (LogToUnreadPipes)
    Unread.push_back(openUnread(Settings.OutputPath));
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
  waitFor(nameOf(Index) + " is ready", Timeout, [&] {
    return HttpTestClient(entryAddress(Index))
               .call("GET", "/v1/ready", {}, CallTimeout)
               .Status == 200;
  });
}

auto TestCluster::waitForMemberCount(std::size_t Index, std::size_t Members,
                                     Milliseconds Timeout) -> void {
  waitFor("the view of " + nameOf(Index) + " has " + std::to_string(Members) +
              " members",
          Timeout, [&] {
            auto Status = getJson(entryAddress(Index), "/v1/status");
            return Status.has_array_field("members") &&
                   Status.at("members").size() == Members;
          });
}

auto TestCluster::waitWorkersSeen(std::size_t Count, Milliseconds Timeout)
    -> void {
  waitFor("owners have seen their workers", Timeout, [&] {
    std::set<std::string> Seen;
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      auto Status = getJson(entryAddress(Index), "/v1/status");
      if (!Status.has_array_field("workers"))
        continue;
      for (const auto &Worker : Status.at("workers").as_array())
        if (Worker.has_string_field("owner") &&
            Worker.at("owner").as_string() == nameOf(Index) &&
            Worker.has_field("slots") &&
            Worker.at("state").as_string() == "LIVE")
          Seen.insert(Worker.at("name").as_string());
    }
    return Seen.size() == Count;
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
