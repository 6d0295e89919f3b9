#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/LatencyProbe.h"
#include "EndToEnd/TestCluster.h"
#include "EndToEnd/Workload.h"
#include "Platform/HttpRuntime.h"
#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <atomic>
#include <cstdio>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace jayramp;

constexpr std::size_t Workers = 48;
constexpr std::size_t EntryHosts = 2;
constexpr Milliseconds StopTimeout{15000};
constexpr Milliseconds JobPollInterval{100};
constexpr Milliseconds CallTimeout{30000};

/// The outcome that one caller received. `OUTCOME_UNSPECIFIED` means that it
/// received none.
struct SubmissionResult {
  v1::Outcome Outcome = v1::OUTCOME_UNSPECIFIED;
  std::string Detail;
  double LatencyMs = 0;
};

/// Number of requests and jobs of one client account by outcome.
struct AccountTotals {
  unsigned Submitted = 0;
  unsigned Answered = 0;
  unsigned Failed = 0;
  unsigned NotRun = 0;
  unsigned Unknown = 0;
  unsigned Missing = 0;

  auto add(v1::Outcome Outcome) -> void {
    ++Submitted;
    switch (Outcome) {
    case v1::ANSWERED:
      ++Answered;
      return;
    case v1::FAILED:
      ++Failed;
      return;
    case v1::NOT_RUN:
      ++NotRun;
      return;
    case v1::UNKNOWN:
      ++Unknown;
      return;
    default:
      ++Missing;
    }
  }
};

/// Returns the text of an ErrorReply, or the start of \p Body if it is none.
auto describeErrorReply(const std::string &Body) -> std::string {
  v1::ErrorReply Reply;
  if (!parseJson(Body, Reply))
    return Body.substr(0, 80);
  return Reply.kind() + " " + Reply.field() + ": " + Reply.detail();
}

auto sendRequest(const std::string &Address, const Workload::Item &Item)
    -> SubmissionResult {
  auto Answer = HttpTestClient(Address).call("POST", "/v1/requests", Item.Body,
                                             CallTimeout);
  if (Answer.Status != 200)
    return {v1::NOT_RUN, describeErrorReply(Answer.Body)};
  v1::RequestOutcome Outcome;
  if (!parseJson(Answer.Body, Outcome))
    return {v1::OUTCOME_UNSPECIFIED,
            "the response body is not a RequestOutcome"};
  if (Outcome.outcome() == v1::ANSWERED &&
      Outcome.answer().size() != Item.AnswerBytes)
    return {v1::OUTCOME_UNSPECIFIED,
            "the answer does not have the expected size"};
  std::string Detail = Outcome.worker();
  if (Outcome.reason() != v1::REASON_UNSPECIFIED)
    Detail += " " + v1::Reason_Name(Outcome.reason());
  return {Outcome.outcome(), Detail};
}

/// Maps the final state of a job to an outcome. Returns `OUTCOME_UNSPECIFIED`
/// if the job has not ended.
auto jobOutcome(const v1::JobReport &Report) -> v1::Outcome {
  switch (Report.state()) {
  case v1::SUCCEEDED:
    return v1::ANSWERED;
  case v1::JOB_FAILED:
    return v1::FAILED;
  case v1::REJECTED:
  case v1::JOB_CANCELLED:
    return v1::NOT_RUN;
  default:
    return v1::OUTCOME_UNSPECIFIED;
  }
}

/// Submits a job and polls it until it ends, or until \p Wait has passed.
auto sendJob(const std::string &Address, const Workload::Item &Item,
             Milliseconds Wait) -> SubmissionResult {
  HttpTestClient Client(Address);
  auto Answer = Client.call("POST", "/v1/jobs", Item.Body, CallTimeout);
  if (Answer.Status != 201 && Answer.Status != 200)
    return {v1::NOT_RUN, std::to_string(Answer.Status) + " " +
                             describeErrorReply(Answer.Body)};
  v1::JobReport Report;
  if (!parseJson(Answer.Body, Report))
    return {v1::OUTCOME_UNSPECIFIED, "the response body is not a JobReport"};
  TimePoint Deadline = Clock::now() + Wait;
  while (jobOutcome(Report) == v1::OUTCOME_UNSPECIFIED &&
         Clock::now() < Deadline) {
    std::this_thread::sleep_for(JobPollInterval);
    auto Polled =
        Client.call("GET", "/v1/jobs/" + Report.id(), {}, CallTimeout);
    // A query can fail while the store is slow, but the job still runs.
    if (Polled.Status == 200)
      static_cast<void>(parseJson(Polled.Body, Report));
  }
  std::string Detail = v1::JobState_Name(Report.state()) + " on " +
                       std::to_string(Report.placement_size()) +
                       " accelerators";
  if (Report.reason() != v1::REASON_UNSPECIFIED)
    Detail += " " + v1::Reason_Name(Report.reason());
  return {jobOutcome(Report), Detail};
}

auto submitItem(const std::string &Address, const Workload::Item &Item,
                Milliseconds JobWait) -> SubmissionResult {
  TimePoint Start = Clock::now();
  SubmissionResult Result;
  try {
    Result = Item.IsJob ? sendJob(Address, Item, JobWait)
                        : sendRequest(Address, Item);
  } catch (const std::exception &Failure) {
    Result = {v1::OUTCOME_UNSPECIFIED, Failure.what()};
  }
  Result.LatencyMs =
      std::chrono::duration<double, std::milli>(Clock::now() - Start).count();
  return Result;
}

/// Calls \p Call with the numbers from 0 to \p Count - 1 on \p Threads threads
/// and returns when all calls have returned.
auto runInParallel(std::size_t Threads, std::size_t Count,
                   const std::function<void(std::size_t)> &Call) -> void {
  std::atomic<std::size_t> Next{0};
  std::vector<std::thread> Running;
  for (std::size_t Thread = 0; Thread < Threads; ++Thread)
    Running.emplace_back([&] {
      for (std::size_t Number = Next++; Number < Count; Number = Next++)
        Call(Number);
    });
  for (std::thread &Each : Running)
    Each.join();
}

/// Applies the configuration of \p Deployment, submits its items and prints
/// each outcome and the totals by client account.
///
/// \returns the number of callers without an outcome.
auto runDeployment(TestCluster &Cluster, const Workload &LoadedWorkload,
                   const Workload::Deployment &Deployment) -> unsigned {
  std::printf("\n== %s: the workload of its client accounts\n",
              Deployment.Name.c_str());
  Cluster.configure(Deployment.Configuration);
  std::map<std::string, AccountTotals> TotalsByAccount;
  std::mutex Mutex;
  runInParallel(LoadedWorkload.CallersAtOnce, Deployment.Items.size(),
                [&](std::size_t Number) {
                  const auto &Item = Deployment.Items[Number];
                  SubmissionResult Result =
                      submitItem(Cluster.entryAddress(Number % EntryHosts),
                                 Item, Milliseconds(LoadedWorkload.JobWaitMs));
                  std::lock_guard Lock(Mutex);
                  TotalsByAccount[Item.Account].add(Result.Outcome);
                  std::printf("%-16s %-38s %-9s %8.1f ms  %s\n",
                              Item.Account.c_str(), Item.Key.c_str(),
                              Result.Outcome == v1::OUTCOME_UNSPECIFIED
                                  ? "MISSING"
                                  : v1::Outcome_Name(Result.Outcome).c_str(),
                              Result.LatencyMs, Result.Detail.c_str());
                });
  unsigned Missing = 0;
  std::printf("\n%-16s submitted = answered + failed + not run + unknown\n",
              "account");
  for (const auto &[Account, Totals] : TotalsByAccount) {
    bool Complete = Totals.Submitted == Totals.Answered + Totals.Failed +
                                            Totals.NotRun + Totals.Unknown;
    std::printf("%-16s %9u = %8u + %6u + %7u + %7u%s\n", Account.c_str(),
                Totals.Submitted, Totals.Answered, Totals.Failed, Totals.NotRun,
                Totals.Unknown, Complete ? "" : "  INCOMPLETE");
    Missing += Totals.Missing;
  }
  return Missing;
}

/// Open connections of one probe thread.
using Connections = std::vector<std::unique_ptr<HttpTestClient>>;

auto openConnections(const std::vector<std::string> &Addresses)
    -> std::vector<Connections> {
  std::vector<Connections> Opened(LatencyProbe::ThreadCount);
  for (auto &Each : Opened)
    for (const auto &Address : Addresses)
      Each.push_back(std::make_unique<HttpTestClient>(Address));
  return Opened;
}

/// Sends \p Payload to an entry host. Returns whether it was answered with the
/// same payload.
auto callThroughJayramp(HttpTestClient &Client, const std::string &Account,
                        const std::string &Key, bool Idempotent,
                        const std::string &Payload) -> bool {
  v1::SubmitRequest Request;
  Request.set_account(Account);
  Request.set_key(Key);
  Request.set_idempotent(Idempotent);
  Request.set_work_class(v1::SHORT);
  Request.set_deadline_ms(2000);
  Request.set_payload(Payload);
  try {
    auto Answer = Client.call("POST", "/v1/requests", renderJson(Request));
    v1::RequestOutcome Outcome;
    return Answer.Status == 200 && parseJson(Answer.Body, Outcome) &&
           Outcome.outcome() == v1::ANSWERED && Outcome.answer() == Payload;
  } catch (const std::exception &) {
    return false;
  }
}

/// Sends \p Payload to a worker without an entry host. Returns whether it was
/// answered with the same payload.
auto callWorkerDirectly(HttpTestClient &Client, const std::string &Payload)
    -> bool {
  try {
    auto Answer = Client.call("POST", "/v1/requests", Payload);
    return Answer.Status == 200 && Answer.Body == Payload;
  } catch (const std::exception &) {
    return false;
  }
}

/// Measures and prints the latency of direct calls to workers and of calls
/// through entry hosts.
///
/// \returns the number of calls without an answer.
auto measureLatency(TestCluster &Cluster, const Workload &LoadedWorkload)
    -> std::size_t {
  const auto &Latency = LoadedWorkload.Latency;
  const auto &Account = LoadedWorkload.Deployments.back().Items.front().Account;
  std::vector<std::string> HostAddresses;
  for (std::size_t Index = 0; Index < EntryHosts; ++Index)
    HostAddresses.push_back(Cluster.entryAddress(Index));
  std::vector<std::string> WorkerAddresses;
  for (std::size_t Index = 0; Index < Workers; ++Index)
    WorkerAddresses.push_back(Cluster.workerAddress(Index));
  auto HostConnections = openConnections(HostAddresses);
  auto WorkerConnections = openConnections(WorkerAddresses);
  const std::string Payload(Latency.PayloadBytes, 'p');
  const auto Duration = std::chrono::seconds(Latency.SecondsPerRound);
  LatencyProbe Direct;
  LatencyProbe Idempotent;
  LatencyProbe AtMostOnce;
  // The warm-up opens the connections that the measured calls reuse.
  LatencyProbe Warming;
  auto Through = [&](const std::string &Prefix, bool IsIdempotent) {
    return [&, Prefix, IsIdempotent](std::size_t Thread, std::size_t Number) {
      return callThroughJayramp(*HostConnections[Thread][Number % EntryHosts],
                                Account, Prefix + std::to_string(Number),
                                IsIdempotent, Payload);
    };
  };
  auto AtWorker = [&](std::size_t Thread, std::size_t Number) {
    return callWorkerDirectly(*WorkerConnections[Thread][Number % Workers],
                              Payload);
  };
  Warming.measure(Latency.PerSecond, std::chrono::seconds(2), AtWorker);
  Warming.measure(Latency.PerSecond, std::chrono::seconds(2),
                  Through("warm-", true));
  // The three kinds of calls alternate in short rounds, so that other load on
  // the machine affects all of them equally.
  for (unsigned Round = 0; Round < Latency.Rounds; ++Round) {
    Direct.measure(Latency.PerSecond, Duration, AtWorker);
    Idempotent.measure(Latency.PerSecond, Duration,
                       Through("repeat-" + std::to_string(Round) + "-", true));
    AtMostOnce.measure(Latency.PerSecond, Duration,
                       Through("once-" + std::to_string(Round) + "-", false));
  }
  std::printf("\n== latency at %u requests/s on loopback, ms\n",
              Latency.PerSecond);
  std::printf("%-34s %7s %8s %8s %8s %12s %12s\n", "", "calls", "failed", "p50",
              "p99", "added p50", "added p99");
  auto Print = [&](const char *Name, const LatencyProbe &Probe) {
    std::printf("%-34s %7zu %8zu %8.2f %8.2f %12.2f %12.2f\n", Name,
                Probe.callCount(), Probe.failureCount(), Probe.quantile(0.5),
                Probe.quantile(0.99),
                Probe.quantile(0.5) - Direct.quantile(0.5),
                Probe.quantile(0.99) - Direct.quantile(0.99));
  };
  Print("directly at the worker", Direct);
  Print("through jayramp, idempotent", Idempotent);
  Print("through jayramp, non-idempotent", AtMostOnce);
  return Direct.failureCount() + Idempotent.failureCount() +
         AtMostOnce.failureCount();
}

/// Stops all entry hosts.
///
/// \returns false if a host did not end in time or its exit code was not 0.
auto stopEntryHosts(TestCluster &Cluster) -> bool {
  bool AllStoppedCleanly = true;
  for (std::size_t Index = 0; Index < EntryHosts; ++Index) {
    auto Code = Cluster.stop(Index, StopTimeout);
    std::printf("entry-%zu (process %d) stopped, exit code %d\n", Index,
                static_cast<int>(Cluster.entry(Index).processId()),
                Code.value_or(-1));
    if (!Code)
      Cluster.kill(Index);
    AllStoppedCleanly = AllStoppedCleanly && Code == 0;
  }
  return AllStoppedCleanly;
}

auto run(const std::string &Path) -> int {
  initializeHttpThreads();
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  auto LoadedWorkload = Workload::load(Path);
  TestCluster::Options ClusterOptions;
  ClusterOptions.EntryHosts = EntryHosts;
  ClusterOptions.Workers = Workers;
  ClusterOptions.Configuration =
      LoadedWorkload.Deployments.front().Configuration;
  auto Cluster = TestCluster::start(ClusterOptions);
  for (std::size_t Index = 0; Index < Workers; ++Index)
    Cluster.workers().control(R"({"task_run_ms":)" +
                                  std::to_string(LoadedWorkload.JobRunMs) + "}",
                              static_cast<int>(Index));
  std::printf("%zu entry hosts and %zu workers run on loopback\n", EntryHosts,
              Workers);
  unsigned Missing = 0;
  for (const auto &Deployment : LoadedWorkload.Deployments)
    Missing += runDeployment(Cluster, LoadedWorkload, Deployment);
  std::size_t Unanswered = measureLatency(Cluster, LoadedWorkload);
  std::printf("\n");
  bool AllStoppedCleanly = stopEntryHosts(Cluster);
  if (Missing == 0 && Unanswered == 0 && AllStoppedCleanly) {
    std::printf("every caller has an outcome\n");
    return 0;
  }
  std::printf("FAILED: %u outcomes missing, %zu latency calls without an "
              "answer, planned stops %s\n",
              Missing, Unanswered, AllStoppedCleanly ? "clean" : "not clean");
  return 1;
}

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  if (ArgumentCount != 2) {
    std::fprintf(stderr, "usage: quickstart WORKLOAD.json\n");
    return 2;
  }
  try {
    return run(Arguments[1]);
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "quickstart: %s\n", Failure.what());
    return 1;
  }
}
