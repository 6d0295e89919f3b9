// Measures what entry hosts spend per worker, per entry host, per request, per
// task and per key record, and prints the points with a line through them.

#include "Benchmark/LinearFit.h"
#include "Benchmark/ProcessUsage.h"
#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/TestCluster.h"
#include "Requests/KeyRegistry.h"

#include <cpprest/json.h>
#include <fmt/format.h>

#include <atomic>
#include <cstdio>
#include <iterator>
#include <set>
#include <thread>
#include <unistd.h>

namespace {

using namespace jayramp;

using Points = std::vector<std::pair<double, double>>;

constexpr std::chrono::seconds Interval{5};
constexpr std::size_t Callers = 16;

auto report(const std::string &Name, const std::string &Size,
            const Points &Measured) -> void {
  LinearFit Fit(Measured);
  std::string Listed;
  for (const auto &[X, Y] : Measured)
    Listed += fmt::format(" {:.0f}:{:.4g}", X, Y);
  fmt::print("{} by {}:{} | slope {:.4g} intercept {:.4g} r2 {:.3f}\n", Name,
             Size, Listed, Fit.slope(), Fit.intercept(), Fit.determination());
  std::fflush(stdout);
}

auto metricSum(const std::string &Address, const std::string &Name) -> double {
  std::string Text = HttpTestClient(Address).call("GET", "/metrics").Body;
  double Sum = 0;
  for (std::size_t At = Text.find("\n" + Name); At != std::string::npos;
       At = Text.find("\n" + Name, At + 1)) {
    auto End = Text.find('\n', At + 1);
    auto Space = Text.rfind(' ', End);
    Sum += std::stod(Text.substr(Space + 1, End - Space - 1));
  }
  return Sum;
}

auto sumFields(const web::json::value &Object) -> double {
  double Sum = 0;
  for (const auto &[Name, Value] : Object.as_object())
    Sum += Value.is_number() ? Value.as_double() : 0;
  return Sum;
}

/// What a cluster spent in one interval.
struct Spent {
  double CpuPercent = 0; ///< Of one core, of the busiest entry host.
  double CpuSeconds = 0; ///< Of all entry hosts.
  double ResidentMebibytes = 0;
  double PeerBytes = 0; ///< Sent and received by all, each message twice.
  double StoreReads = 0;
  double StoreWrites = 0;
  double LoopbackBytes = 0;
};

auto counters(TestCluster &Cluster) -> Spent {
  Spent Sum;
  for (std::size_t Index = 0; Index < Cluster.entryHostCount(); ++Index) {
    auto Usage = ProcessUsage::of(Cluster.entry(Index).processId());
    Sum.CpuSeconds += Usage.CpuSeconds;
    Sum.ResidentMebibytes =
        std::max(Sum.ResidentMebibytes, Usage.ResidentMebibytes);
    Sum.PeerBytes +=
        metricSum(Cluster.entryAddress(Index), "jayramp_peer_bytes_total");
  }
  auto Record = Cluster.platform().record();
  Sum.StoreReads = sumFields(Record.at("reads"));
  Sum.StoreWrites = sumFields(Record.at("writes"));
  Sum.LoopbackBytes = static_cast<double>(loopbackBytes());
  return Sum;
}

template <typename Function>
auto spentDuring(TestCluster &Cluster, const Function &Work) -> Spent {
  std::vector<double> Before;
  for (std::size_t Index = 0; Index < Cluster.entryHostCount(); ++Index)
    Before.push_back(
        ProcessUsage::of(Cluster.entry(Index).processId()).CpuSeconds);
  Spent First = counters(Cluster);
  auto Begin = Clock::now();
  Work();
  double Seconds = std::chrono::duration<double>(Clock::now() - Begin).count();
  Spent Last = counters(Cluster);
  Spent Result = Last;
  for (std::size_t Index = 0; Index < Cluster.entryHostCount(); ++Index) {
    double Used =
        ProcessUsage::of(Cluster.entry(Index).processId()).CpuSeconds -
        Before[Index];
    Result.CpuPercent = std::max(Result.CpuPercent, 100 * Used / Seconds);
  }
  Result.CpuSeconds = Last.CpuSeconds - First.CpuSeconds;
  Result.PeerBytes = (Last.PeerBytes - First.PeerBytes) / Seconds;
  Result.StoreReads = (Last.StoreReads - First.StoreReads) / Seconds;
  Result.StoreWrites = (Last.StoreWrites - First.StoreWrites) / Seconds;
  Result.LoopbackBytes = (Last.LoopbackBytes - First.LoopbackBytes) / Seconds;
  return Result;
}

auto idle(TestCluster &Cluster) -> Spent {
  return spentDuring(Cluster, [] { std::this_thread::sleep_for(Interval); });
}

auto measureWorkers() -> void {
  Points Cpu;
  Points Memory;
  Points Bytes;
  for (std::size_t Workers : {48U, 192U, 768U}) {
    auto Cluster = TestCluster::start({.EntryHosts = 1, .Workers = Workers});
    Spent Used = idle(Cluster);
    auto Size = static_cast<double>(Workers);
    Cpu.emplace_back(Size, Used.CpuPercent);
    Memory.emplace_back(Size, Used.ResidentMebibytes);
    Bytes.emplace_back(Size, Used.LoopbackBytes);
  }
  report("entry host CPU, percent of a core", "owned workers", Cpu);
  report("entry host memory, MiB", "owned workers", Memory);
  report("bytes/s on the wire", "owned workers", Bytes);
}

auto measureMembers() -> void {
  Points Cpu;
  Points Peer;
  Points Reads;
  Points Writes;
  for (std::size_t Members : {2U, 4U, 8U}) {
    auto Cluster = TestCluster::start({.EntryHosts = Members, .Workers = 48});
    Spent Used = idle(Cluster);
    auto Size = static_cast<double>(Members);
    Cpu.emplace_back(Size, Used.CpuPercent);
    Peer.emplace_back(Size, Used.PeerBytes / Size);
    Reads.emplace_back(Size, Used.StoreReads);
    Writes.emplace_back(Size, Used.StoreWrites);
  }
  report("busiest entry host CPU, percent of a core", "entry hosts", Cpu);
  report("peer bytes/s of one entry host", "entry hosts", Peer);
  report("table service reads/s, all hosts", "entry hosts", Reads);
  report("table service writes/s, all hosts", "entry hosts", Writes);
}

// Sends requests at a fixed rate from several callers, each with a period of
// its own, for one interval.
auto sendAtRate(TestCluster &Cluster, double Rate, bool Idempotent) -> void {
  static std::atomic<std::uint64_t> NextKey{0};
  std::vector<std::thread> Threads;
  auto Begin = Clock::now();
  auto Period = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(static_cast<double>(Callers) / Rate));
  for (std::size_t Caller = 0; Caller < Callers; ++Caller)
    Threads.emplace_back([&Cluster, Begin, Period, Caller, Idempotent] {
      HttpTestClient Client(
          Cluster.entryAddress(Caller % Cluster.entryHostCount()));
      for (auto Due = Begin + Period * Caller / Callers; Due < Begin + Interval;
           Due += Period) {
        std::this_thread::sleep_until(Due);
        Client.call("POST", "/v1/requests",
                    fmt::format(R"({{"account":"alpha","key":"capacity-{}",)"
                                R"("idempotent":{},"deadline_ms":5000,)"
                                R"("payload":"aGVsbG8="}})",
                                NextKey++, Idempotent));
      }
    });
  for (auto &Thread : Threads)
    Thread.join();
}

auto measureRequests() -> void {
  for (bool Idempotent : {true, false}) {
    auto Cluster = TestCluster::start({.EntryHosts = 2, .Workers = 12});
    Points Cpu;
    Points Peer;
    for (double Rate : {100.0, 300.0, 600.0}) {
      Spent Used =
          spentDuring(Cluster, [&] { sendAtRate(Cluster, Rate, Idempotent); });
      Cpu.emplace_back(Rate, Used.CpuSeconds * 1000 / Interval.count());
      Peer.emplace_back(Rate, Used.PeerBytes);
    }
    std::string Kind = Idempotent ? "idempotent" : "non-idempotent";
    report("CPU ms/s of two entry hosts, " + Kind, "requests/s", Cpu);
    report("peer bytes/s of two entry hosts, " + Kind, "requests/s", Peer);
  }
}

auto runningJobs(const std::string &Address) -> std::size_t {
  std::string Text = HttpTestClient(Address).call("GET", "/v1/jobs").Body;
  std::size_t Count = 0;
  for (auto At = Text.find("\"STARTED\""); At != std::string::npos;
       At = Text.find("\"STARTED\"", At + 1))
    ++Count;
  return Count;
}

auto measureTasks() -> void {
  auto Cluster = TestCluster::start({.EntryHosts = 2, .Workers = 48});
  HttpTestClient Client(Cluster.entryAddress(0));
  Points Cpu;
  Points Bytes;
  Points Memory;
  std::size_t Submitted = 0;
  for (std::size_t Tasks : {0U, 120U, 360U}) {
    for (; Submitted < Tasks; ++Submitted)
      Client.call("POST", "/v1/jobs",
                  fmt::format(R"({{"account":"alpha","key":"job-{}",)"
                              R"("accelerators":1,"priority":"SURPLUS"}})",
                              Submitted));
    auto Limit = Clock::now() + std::chrono::seconds(20);
    while (runningJobs(Cluster.entryAddress(0)) < Tasks && Clock::now() < Limit)
      std::this_thread::sleep_for(Milliseconds(200));
    auto Running = static_cast<double>(runningJobs(Cluster.entryAddress(0)));
    Spent Used = idle(Cluster);
    Cpu.emplace_back(Running, Used.CpuPercent);
    Bytes.emplace_back(Running, Used.LoopbackBytes);
    Memory.emplace_back(Running, Used.ResidentMebibytes);
  }
  report("busiest entry host CPU, percent of a core", "running tasks", Cpu);
  report("bytes/s on the wire", "running tasks", Bytes);
  report("largest entry host memory, MiB", "running tasks", Memory);
}

auto measureKeys() -> void {
  auto Registry = KeyRegistry::make({});
  ShardRoles Roles;
  Roles.ViewVersion = 1;
  Roles.IsFirstView = true;
  Roles.OwnIncarnation = "0123456789abcdef0123456789abcdef";
  Roles.Members = {Roles.OwnIncarnation};
  Roles.Roles.fill(ShardRole::Home);
  Registry.value().adoptView(Roles, Clock::now());
  Points Memory;
  std::size_t Made = 0;
  for (std::size_t Count : {0U, 50'000U, 100'000U, 190'000U}) {
    for (; Made < Count; ++Made) {
      std::string Key = fmt::format("reservation-{:012}", Made);
      Registry.value().claim(
          {.ViewVersion = 1,
           .Shard = KeyRegistry::shardOf("north-imaging", Key),
           .Account = "north-imaging",
           .Key = Key,
           .ClaimId = "0123456789abcdef0123456789abcdef",
           .HolderHost = "entry-1",
           .HolderIncarnation = "0123456789abcdef0123456789abcdef"},
          Clock::now());
    }
    Memory.emplace_back(static_cast<double>(Count),
                        ProcessUsage::of(::getpid()).ResidentMebibytes);
  }
  report("memory, MiB", "key records", Memory);
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  std::set<std::string> Chosen(Arguments + 1, Arguments + ArgumentCount);
  auto Wanted = [&Chosen](const char *Name) {
    return Chosen.empty() || Chosen.count(Name) != 0;
  };
  try {
    if (Wanted("keys"))
      measureKeys();
    if (Wanted("workers"))
      measureWorkers();
    if (Wanted("members"))
      measureMembers();
    if (Wanted("requests"))
      measureRequests();
    if (Wanted("tasks"))
      measureTasks();
  } catch (const std::exception &Failure) {
    fmt::print(stderr, "CapacityBenchmark: {}\n", Failure.what());
    return 1;
  }
  return 0;
}
