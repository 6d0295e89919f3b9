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

/// What one caller was told. `OUTCOME_UNSPECIFIED` means that it was told
/// nothing.
struct Told {
  v1::Outcome Outcome = v1::OUTCOME_UNSPECIFIED;
  std::string Detail;
  double Latency = 0;
};

struct AccountSum {
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

auto refusalText(const std::string &Body) -> std::string {
  v1::ErrorReply Reply;
  if (!parseJson(Body, Reply))
    return Body.substr(0, 80);
  return Reply.kind() + " " + Reply.field() + ": " + Reply.detail();
}

auto sendRequest(const std::string &Address, const Workload::Item &Item)
    -> Told {
  auto Answer = HttpTestClient(Address).call("POST", "/v1/requests", Item.Body,
                                             CallTimeout);
  if (Answer.Status != 200)
    return {v1::NOT_RUN, refusalText(Answer.Body)};
  v1::RequestOutcome Outcome;
  if (!parseJson(Answer.Body, Outcome))
    return {v1::OUTCOME_UNSPECIFIED, "the answer is not a RequestOutcome"};
  if (Outcome.outcome() == v1::ANSWERED &&
      Outcome.answer().size() != Item.AnswerBytes)
    return {v1::OUTCOME_UNSPECIFIED, "the answer is not whole"};
  std::string Detail = Outcome.worker();
  if (Outcome.reason() != v1::REASON_UNSPECIFIED)
    Detail += " " + v1::Reason_Name(Outcome.reason());
  return {Outcome.outcome(), Detail};
}

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

auto sendJob(const std::string &Address, const Workload::Item &Item,
             Milliseconds Wait) -> Told {
  HttpTestClient Client(Address);
  auto Answer = Client.call("POST", "/v1/jobs", Item.Body, CallTimeout);
  if (Answer.Status != 201 && Answer.Status != 200)
    return {v1::NOT_RUN,
            std::to_string(Answer.Status) + " " + refusalText(Answer.Body)};
  v1::JobReport Report;
  if (!parseJson(Answer.Body, Report))
    return {v1::OUTCOME_UNSPECIFIED, "the answer is not a JobReport"};
  TimePoint Deadline = Clock::now() + Wait;
  while (jobOutcome(Report) == v1::OUTCOME_UNSPECIFIED &&
         Clock::now() < Deadline) {
    std::this_thread::sleep_for(JobPollInterval);
    auto Shown = Client.call("GET", "/v1/jobs/" + Report.id(), {}, CallTimeout);
    // The store may be slow for a moment; the job itself goes on.
    if (Shown.Status == 200)
      static_cast<void>(parseJson(Shown.Body, Report));
  }
  std::string Detail = v1::JobState_Name(Report.state()) + " on " +
                       std::to_string(Report.placement_size()) +
                       " accelerators";
  if (Report.reason() != v1::REASON_UNSPECIFIED)
    Detail += " " + v1::Reason_Name(Report.reason());
  return {jobOutcome(Report), Detail};
}

auto send(const std::string &Address, const Workload::Item &Item,
          Milliseconds JobWait) -> Told {
  TimePoint Start = Clock::now();
  Told Result;
  try {
    Result = Item.IsJob ? sendJob(Address, Item, JobWait)
                        : sendRequest(Address, Item);
  } catch (const std::exception &Failure) {
    Result = {v1::OUTCOME_UNSPECIFIED, Failure.what()};
  }
  Result.Latency =
      std::chrono::duration<double, std::milli>(Clock::now() - Start).count();
  return Result;
}

/// Runs \p Count calls on \p Threads threads.
auto inParallel(std::size_t Threads, std::size_t Count,
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

/// \returns the number of callers without an outcome.
auto runDeployment(TestCluster &Cluster, const Workload &Plan,
                   const Workload::Deployment &Deployment) -> unsigned {
  std::printf("\n== %s: the workload of its client accounts\n",
              Deployment.Name.c_str());
  Cluster.configure(Deployment.Configuration);
  std::map<std::string, AccountSum> Sums;
  std::mutex Mutex;
  inParallel(Plan.CallersAtOnce, Deployment.Items.size(),
             [&](std::size_t Number) {
               const auto &Item = Deployment.Items[Number];
               Told Result = send(Cluster.entryAddress(Number % EntryHosts),
                                  Item, Milliseconds(Plan.JobWaitMs));
               std::lock_guard Lock(Mutex);
               Sums[Item.Account].add(Result.Outcome);
               std::printf("%-16s %-38s %-9s %8.1f ms  %s\n",
                           Item.Account.c_str(), Item.Key.c_str(),
                           Result.Outcome == v1::OUTCOME_UNSPECIFIED
                               ? "MISSING"
                               : v1::Outcome_Name(Result.Outcome).c_str(),
                           Result.Latency, Result.Detail.c_str());
             });
  unsigned Missing = 0;
  std::printf("\n%-16s submitted = answered + failed + not run + unknown\n",
              "account");
  for (const auto &[Account, Sum] : Sums) {
    bool Complete =
        Sum.Submitted == Sum.Answered + Sum.Failed + Sum.NotRun + Sum.Unknown;
    std::printf("%-16s %9u = %8u + %6u + %7u + %7u%s\n", Account.c_str(),
                Sum.Submitted, Sum.Answered, Sum.Failed, Sum.NotRun,
                Sum.Unknown, Complete ? "" : "  INCOMPLETE");
    Missing += Sum.Missing;
  }
  return Missing;
}

/// Connections that one probe thread keeps open.
using Connections = std::vector<std::unique_ptr<HttpTestClient>>;

auto openConnections(const std::vector<std::string> &Addresses)
    -> std::vector<Connections> {
  std::vector<Connections> Opened(LatencyProbe::ThreadCount);
  for (auto &Each : Opened)
    for (const auto &Address : Addresses)
      Each.push_back(std::make_unique<HttpTestClient>(Address));
  return Opened;
}

auto throughJayramp(HttpTestClient &Client, const std::string &Account,
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

auto direct(HttpTestClient &Client, const std::string &Payload) -> bool {
  try {
    auto Answer = Client.call("POST", "/v1/requests", Payload);
    return Answer.Status == 200 && Answer.Body == Payload;
  } catch (const std::exception &) {
    return false;
  }
}

/// \returns the number of calls without an answer.
auto measureLatency(TestCluster &Cluster, const Workload &Plan) -> std::size_t {
  const auto &Latency = Plan.Latency;
  const auto &Account = Plan.Deployments.back().Items.front().Account;
  std::vector<std::string> Hosts;
  for (std::size_t Index = 0; Index < EntryHosts; ++Index)
    Hosts.push_back(Cluster.entryAddress(Index));
  std::vector<std::string> Machines;
  for (std::size_t Index = 0; Index < Workers; ++Index)
    Machines.push_back(Cluster.workerAddress(Index));
  auto ToHosts = openConnections(Hosts);
  auto ToMachines = openConnections(Machines);
  const std::string Payload(Latency.PayloadBytes, 'p');
  const auto Duration = std::chrono::seconds(Latency.SecondsPerRound);
  LatencyProbe Direct;
  LatencyProbe Idempotent;
  LatencyProbe AtMostOnce;
  // The first seconds open connections, which later calls reuse.
  LatencyProbe Warming;
  auto Through = [&](const std::string &Prefix, bool Repeatable) {
    return [&, Prefix, Repeatable](std::size_t Thread, std::size_t Number) {
      return throughJayramp(*ToHosts[Thread][Number % EntryHosts], Account,
                            Prefix + std::to_string(Number), Repeatable,
                            Payload);
    };
  };
  auto AtWorker = [&](std::size_t Thread, std::size_t Number) {
    return direct(*ToMachines[Thread][Number % Workers], Payload);
  };
  Warming.measure(Latency.PerSecond, std::chrono::seconds(2), AtWorker);
  Warming.measure(Latency.PerSecond, std::chrono::seconds(2),
                  Through("warm-", true));
  // Short rounds in turn, so that other load on the machine meets all alike.
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

/// \returns false if an entry host did not finish a planned stop.
auto stopAll(TestCluster &Cluster) -> bool {
  bool Clean = true;
  for (std::size_t Index = 0; Index < EntryHosts; ++Index) {
    auto Code = Cluster.stop(Index, StopTimeout);
    std::printf("entry-%zu (process %d) stopped, exit code %d\n", Index,
                static_cast<int>(Cluster.entry(Index).processId()),
                Code.value_or(-1));
    if (!Code)
      Cluster.kill(Index);
    Clean = Clean && Code == 0;
  }
  return Clean;
}

auto run(const std::string &Path) -> int {
  initializeHttpThreads();
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  auto Plan = Workload::load(Path);
  TestCluster::Options Wanted;
  Wanted.EntryHosts = EntryHosts;
  Wanted.Workers = Workers;
  Wanted.Configuration = Plan.Deployments.front().Configuration;
  auto Cluster = TestCluster::start(Wanted);
  for (std::size_t Index = 0; Index < Workers; ++Index)
    Cluster.workers().control(R"({"task_run_ms":)" +
                                  std::to_string(Plan.JobRunMs) + "}",
                              static_cast<int>(Index));
  std::printf("%zu entry hosts and %zu workers run on loopback\n", EntryHosts,
              Workers);
  unsigned Missing = 0;
  for (const auto &Deployment : Plan.Deployments)
    Missing += runDeployment(Cluster, Plan, Deployment);
  std::size_t Unanswered = measureLatency(Cluster, Plan);
  std::printf("\n");
  bool Clean = stopAll(Cluster);
  if (Missing == 0 && Unanswered == 0 && Clean) {
    std::printf("every caller has an outcome\n");
    return 0;
  }
  std::printf("FAILED: %u outcomes missing, %zu latency calls without an "
              "answer, planned stops %s\n",
              Missing, Unanswered, Clean ? "clean" : "not clean");
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
