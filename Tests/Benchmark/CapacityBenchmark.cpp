// Measures the CPU, memory and traffic of entry hosts by the number of workers,
// entry hosts, requests, running tasks and key records. Prints the measured
// points of each figure and the line fitted through them.
//
// Arguments choose parts: keys, workers, members, requests, tasks. Without
// arguments all parts run.

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

constexpr std::chrono::seconds MeasurementInterval{5};
constexpr std::size_t CallerCount = 16;

/// Prints the points of the figure \p Name, measured at several values of
/// \p SizeName, and the line fitted through them.
auto printFit(const std::string &Name, const std::string &SizeName,
              const Points &Measured) -> void {
  LinearFit Fit(Measured);
  std::string PointList;
  for (const auto &[X, Y] : Measured)
    PointList += fmt::format(" {:.0f}:{:.4g}", X, Y);
  fmt::print("{} by {}:{} | slope {:.4g} intercept {:.4g} r2 {:.3f}\n", Name,
             SizeName, PointList, Fit.slope(), Fit.intercept(), Fit.rSquared());
  std::fflush(stdout);
}

/// Sums all series on the metrics page whose name starts with \p Name.
auto sumMetric(const std::string &Address, const std::string &Name) -> double {
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

/// Sums the numeric fields of \p Object.
auto sumFields(const web::json::value &Object) -> double {
  double Sum = 0;
  for (const auto &[Name, Value] : Object.as_object())
    Sum += Value.is_number() ? Value.as_double() : 0;
  return Sum;
}

/// Resources used by a cluster: totals so far if returned by readCounters(), or
/// the use in one interval if returned by measureUsageDuring(), which gives
/// PeerBytes, StoreReads, StoreWrites and LoopbackBytes per second.
struct ClusterUsage {
  double CpuPercent = 0;        ///< Of one core, by the busiest entry host.
  double CpuSeconds = 0;        ///< Sum over all entry hosts.
  double ResidentMebibytes = 0; ///< Of the entry host with the most memory.
  /// Sent plus received bytes of all entry hosts; counts each message twice.
  double PeerBytes = 0;
  double StoreReads = 0;
  double StoreWrites = 0;
  double LoopbackBytes = 0;
};

/// Returns the totals of \p Cluster so far, except for
/// ResidentMebibytes, which is the present value, and CpuPercent, which is 0.
auto readCounters(TestCluster &Cluster) -> ClusterUsage {
  ClusterUsage Totals;
  for (std::size_t Index = 0; Index < Cluster.entryHostCount(); ++Index) {
    auto Usage = ProcessUsage::read(Cluster.entry(Index).processId());
    Totals.CpuSeconds += Usage.CpuSeconds;
    Totals.ResidentMebibytes =
        std::max(Totals.ResidentMebibytes, Usage.ResidentMebibytes);
    Totals.PeerBytes +=
        sumMetric(Cluster.entryAddress(Index), "jayramp_peer_bytes_total");
  }
  auto Record = Cluster.platform().record();
  Totals.StoreReads = sumFields(Record.at("reads"));
  Totals.StoreWrites = sumFields(Record.at("writes"));
  Totals.LoopbackBytes = static_cast<double>(readLoopbackBytes());
  return Totals;
}

/// Returns the usage of \p Cluster while \p Work runs. ResidentMebibytes is the
/// value at the end.
template <typename Function>
auto measureUsageDuring(TestCluster &Cluster, const Function &Work)
    -> ClusterUsage {
  std::vector<double> CpuSecondsBefore;
  for (std::size_t Index = 0; Index < Cluster.entryHostCount(); ++Index)
    CpuSecondsBefore.push_back(
        ProcessUsage::read(Cluster.entry(Index).processId()).CpuSeconds);
  ClusterUsage Initial = readCounters(Cluster);
  auto Start = Clock::now();
  Work();
  double Seconds = std::chrono::duration<double>(Clock::now() - Start).count();
  ClusterUsage Final = readCounters(Cluster);
  ClusterUsage Result = Final;
  for (std::size_t Index = 0; Index < Cluster.entryHostCount(); ++Index) {
    double CpuSeconds =
        ProcessUsage::read(Cluster.entry(Index).processId()).CpuSeconds -
        CpuSecondsBefore[Index];
    Result.CpuPercent = std::max(Result.CpuPercent, 100 * CpuSeconds / Seconds);
  }
  Result.CpuSeconds = Final.CpuSeconds - Initial.CpuSeconds;
  Result.PeerBytes = (Final.PeerBytes - Initial.PeerBytes) / Seconds;
  Result.StoreReads = (Final.StoreReads - Initial.StoreReads) / Seconds;
  Result.StoreWrites = (Final.StoreWrites - Initial.StoreWrites) / Seconds;
  Result.LoopbackBytes =
      (Final.LoopbackBytes - Initial.LoopbackBytes) / Seconds;
  return Result;
}

auto measureIdleUsage(TestCluster &Cluster) -> ClusterUsage {
  return measureUsageDuring(
      Cluster, [] { std::this_thread::sleep_for(MeasurementInterval); });
}

auto measureWorkerCost() -> void {
  Points Cpu;
  Points Memory;
  Points Bytes;
  for (std::size_t Workers : {48U, 192U, 768U}) {
    auto Cluster = TestCluster::start({.EntryHosts = 1, .Workers = Workers});
    ClusterUsage Usage = measureIdleUsage(Cluster);
    auto Size = static_cast<double>(Workers);
    Cpu.emplace_back(Size, Usage.CpuPercent);
    Memory.emplace_back(Size, Usage.ResidentMebibytes);
    Bytes.emplace_back(Size, Usage.LoopbackBytes);
  }
  printFit("entry host CPU, percent of a core", "owned workers", Cpu);
  printFit("entry host memory, MiB", "owned workers", Memory);
  printFit("bytes/s on the wire", "owned workers", Bytes);
}

auto measureEntryHostCost() -> void {
  Points Cpu;
  Points Peer;
  Points Reads;
  Points Writes;
  for (std::size_t EntryHosts : {2U, 4U, 8U}) {
    auto Cluster =
        TestCluster::start({.EntryHosts = EntryHosts, .Workers = 48});
    ClusterUsage Usage = measureIdleUsage(Cluster);
    auto Size = static_cast<double>(EntryHosts);
    Cpu.emplace_back(Size, Usage.CpuPercent);
    Peer.emplace_back(Size, Usage.PeerBytes / Size);
    Reads.emplace_back(Size, Usage.StoreReads);
    Writes.emplace_back(Size, Usage.StoreWrites);
  }
  printFit("busiest entry host CPU, percent of a core", "entry hosts", Cpu);
  printFit("peer bytes/s of one entry host", "entry hosts", Peer);
  printFit("table service reads/s, all hosts", "entry hosts", Reads);
  printFit("table service writes/s, all hosts", "entry hosts", Writes);
}

/// Sends \p Rate requests a second for one measurement interval. Each of the
/// callers sends at a fixed period, shifted against the other callers.
auto sendAtRate(TestCluster &Cluster, double Rate, bool Idempotent) -> void {
  static std::atomic<std::uint64_t> NextKey{0};
  std::vector<std::thread> Threads;
  auto Start = Clock::now();
  auto Period = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(static_cast<double>(CallerCount) / Rate));
  for (std::size_t Caller = 0; Caller < CallerCount; ++Caller)
    Threads.emplace_back([&Cluster, Start, Period, Caller, Idempotent] {
      HttpTestClient Client(
          Cluster.entryAddress(Caller % Cluster.entryHostCount()));
      for (auto SendAt = Start + Period * Caller / CallerCount;
           SendAt < Start + MeasurementInterval; SendAt += Period) {
        std::this_thread::sleep_until(SendAt);
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

auto measureRequestCost() -> void {
  for (bool Idempotent : {true, false}) {
    auto Cluster = TestCluster::start({.EntryHosts = 2, .Workers = 12});
    Points Cpu;
    Points Peer;
    for (double Rate : {100.0, 300.0, 600.0}) {
      ClusterUsage Usage = measureUsageDuring(
          Cluster, [&] { sendAtRate(Cluster, Rate, Idempotent); });
      Cpu.emplace_back(Rate,
                       Usage.CpuSeconds * 1000 / MeasurementInterval.count());
      Peer.emplace_back(Rate, Usage.PeerBytes);
    }
    std::string Kind = Idempotent ? "idempotent" : "non-idempotent";
    printFit("CPU ms/s of two entry hosts, " + Kind, "requests/s", Cpu);
    printFit("peer bytes/s of two entry hosts, " + Kind, "requests/s", Peer);
  }
}

/// Returns how many started jobs the entry host at \p Address reports.
auto countRunningJobs(const std::string &Address) -> std::size_t {
  std::string Text = HttpTestClient(Address).call("GET", "/v1/jobs").Body;
  std::size_t Count = 0;
  for (auto At = Text.find("\"STARTED\""); At != std::string::npos;
       At = Text.find("\"STARTED\"", At + 1))
    ++Count;
  return Count;
}

auto measureTaskCost() -> void {
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
    auto Deadline = Clock::now() + std::chrono::seconds(20);
    while (countRunningJobs(Cluster.entryAddress(0)) < Tasks &&
           Clock::now() < Deadline)
      std::this_thread::sleep_for(Milliseconds(200));
    auto Running =
        static_cast<double>(countRunningJobs(Cluster.entryAddress(0)));
    ClusterUsage Usage = measureIdleUsage(Cluster);
    Cpu.emplace_back(Running, Usage.CpuPercent);
    Bytes.emplace_back(Running, Usage.LoopbackBytes);
    Memory.emplace_back(Running, Usage.ResidentMebibytes);
  }
  printFit("busiest entry host CPU, percent of a core", "running tasks", Cpu);
  printFit("bytes/s on the wire", "running tasks", Bytes);
  printFit("largest entry host memory, MiB", "running tasks", Memory);
}

auto measureKeyRecordCost() -> void {
  auto Registry = KeyRegistry::make({});
  ShardRoles Roles;
  Roles.ViewVersion = 1;
  Roles.IsFirstView = true;
  Roles.OwnIncarnation = "0123456789abcdef0123456789abcdef";
  Roles.Members = {Roles.OwnIncarnation};
  Roles.Roles.fill(ShardRole::Home);
  Registry.value().adoptView(Roles, Clock::now());
  Points Memory;
  std::size_t ClaimedKeys = 0;
  for (std::size_t Count : {0U, 50'000U, 100'000U, 190'000U}) {
    for (; ClaimedKeys < Count; ++ClaimedKeys) {
      std::string Key = fmt::format("reservation-{:012}", ClaimedKeys);
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
                        ProcessUsage::read(::getpid()).ResidentMebibytes);
  }
  printFit("memory, MiB", "key records", Memory);
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  std::set<std::string> ChosenParts(Arguments + 1, Arguments + ArgumentCount);
  auto IsChosen = [&ChosenParts](const char *Name) {
    return ChosenParts.empty() || ChosenParts.count(Name) != 0;
  };
  try {
    if (IsChosen("keys"))
      measureKeyRecordCost();
    if (IsChosen("workers"))
      measureWorkerCost();
    if (IsChosen("members"))
      measureEntryHostCost();
    if (IsChosen("requests"))
      measureRequestCost();
    if (IsChosen("tasks"))
      measureTaskCost();
  } catch (const std::exception &Failure) {
    fmt::print(stderr, "CapacityBenchmark: {}\n", Failure.what());
    return 1;
  }
  return 0;
}
