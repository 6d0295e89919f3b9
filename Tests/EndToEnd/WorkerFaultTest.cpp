#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/OpenLoopLoad.h"
#include "EndToEnd/RequestCaller.h"
#include "EndToEnd/TestCluster.h"

#include <cpprest/json.h>
#include <gtest/gtest.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

namespace jayramp {
namespace {

constexpr std::size_t EntryHosts = 2;
constexpr std::size_t Workers = 4;
constexpr std::size_t Callers = 8;
constexpr Milliseconds RequestRunTime{10};
// Time after the start of a fault by which the worker must have lost its
// traffic.
constexpr Milliseconds DetectionTime{2000};
constexpr Milliseconds FaultDuration{6000};
// Time after the end of a fault by which the worker must get traffic again.
constexpr Milliseconds RecoveryTime{12000};

/// Returns the wall-clock time in milliseconds since the Unix epoch.
auto unixMs() -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Sends idempotent requests from several callers for the whole test.
class WorkerFaultTest : public testing::Test {
protected:
  WorkerFaultTest()
      : Seed(chooseRandomSeed()),
        Cluster(TestCluster::start(clusterOptions())) {
    for (std::size_t Caller = 0; Caller < Callers; ++Caller)
      Threads.emplace_back([this, Caller] { sendRequests(Caller); });
    std::this_thread::sleep_for(Milliseconds(2000));
  }
  ~WorkerFaultTest() override {
    Stopping = true;
    for (auto &Thread : Threads)
      Thread.join();
    std::cout << "answered=" << Answered << " failed=" << Failed
              << " not_run=" << NotRun << " unknown=" << Unknown
              << " without_outcome=" << WithoutOutcome << std::endl;
  }

  static auto clusterOptions() -> TestCluster::Options {
    TestCluster::Options ClusterOptions;
    ClusterOptions.EntryHosts = EntryHosts;
    ClusterOptions.Workers = Workers;
    // All workers are in one rack and thus have one owner, because an owner
    // compares the latency of a worker only with that of its other workers.
    ClusterOptions.WorkersPerRack = Workers;
    ClusterOptions.Settings["workers.attempt_timeout_ms"] = "1000";
    return ClusterOptions;
  }

  /// Returns the fraction of the executions started from \p From to \p To (in
  /// Unix milliseconds) that ran on worker 0.
  auto fractionOnFirstWorker(std::int64_t From, std::int64_t To) -> double {
    double OnFirstWorker = 0;
    double All = 0;
    for (std::size_t Index = 0; Index < Workers; ++Index) {
      auto Record = Cluster.workers().record(static_cast<int>(Index));
      for (const auto &Execution : Record.at("executions").as_array()) {
        auto Start = Execution.at("start_ms").as_number().to_int64();
        if (Start < From || Start >= To)
          continue;
        All += 1;
        OnFirstWorker += Index == 0 ? 1 : 0;
      }
    }
    EXPECT_GT(All, 0);
    return OnFirstWorker / std::max(1.0, All);
  }

  /// Sends \p SetFault and later \p ClearFault to /control of worker 0, and
  /// checks its fraction of the executions before, during and after the fault.
  auto expectTrafficLossAndRecovery(const std::string &SetFault,
                                    const std::string &ClearFault) -> void {
    std::int64_t Begin = unixMs();
    Cluster.workers().control(SetFault, 0);
    std::this_thread::sleep_for(FaultDuration);
    std::int64_t End = unixMs();
    Cluster.workers().control(ClearFault, 0);
    std::this_thread::sleep_for(RecoveryTime);
    double Before = fractionOnFirstWorker(Begin - 1500, Begin);
    double During = fractionOnFirstWorker(Begin + DetectionTime.count(), End);
    double After = fractionOnFirstWorker(End + RecoveryTime.count() - 2000,
                                         End + RecoveryTime.count());
    std::cout << "share_before=" << Before << " share_during=" << During
              << " share_after=" << After << std::endl;
    EXPECT_GT(Before, 0.1);
    // A worker with a fault still gets single requests that test whether it has
    // recovered.
    EXPECT_LT(During, 0.02);
    EXPECT_GT(After, 0.1);
  }

  unsigned Seed;
  TestCluster Cluster;
  std::atomic<int> Answered{0};
  std::atomic<int> Failed{0};
  std::atomic<int> NotRun{0};
  std::atomic<int> Unknown{0};
  std::atomic<int> WithoutOutcome{0};

private:
  auto sendRequests(std::size_t Caller) -> void {
    HttpTestClient Client(Cluster.entryAddress(Caller % EntryHosts));
    for (int Number = 0; !Stopping; ++Number) {
      auto Request = makeTestRequest("w" + std::to_string(Caller) + "-" +
                                         std::to_string(Number),
                                     true, RequestRunTime, Milliseconds(4000));
      auto Outcome = submitRequest(Client, Request, Milliseconds(8000));
      auto Result = Outcome ? Outcome->outcome() : v1::OUTCOME_UNSPECIFIED;
      ++(Result == v1::ANSWERED  ? Answered
         : Result == v1::FAILED  ? Failed
         : Result == v1::NOT_RUN ? NotRun
         : Result == v1::UNKNOWN ? Unknown
                                 : WithoutOutcome);
    }
  }

  std::atomic<bool> Stopping{false};
  std::vector<std::thread> Threads;
};

// Guards against a worker that attracts requests because it fails each of them
// immediately and therefore always has free slots.
TEST_F(WorkerFaultTest, workerThatFailsEveryRequestLosesItsTraffic) {
  expectTrafficLossAndRecovery(R"({"fail_everything":true})",
                               R"({"fail_everything":false})");
}

// Guards against a slow worker, one of four, that delays a quarter of the
// requests.
TEST_F(WorkerFaultTest, slowWorkerLosesItsTraffic) {
  expectTrafficLossAndRecovery(R"({"delay_ms":300})", R"({"delay_ms":0})");
}

// Guards against reuse of connections on which the worker no longer answers.
TEST_F(WorkerFaultTest, unresponsiveWorkerLosesItsTraffic) {
  expectTrafficLossAndRecovery(R"({"silent":true})", R"({"silent":false})");
}

// Guards against new requests on a worker more than 2 s after it has reported
// that it is leaving.
TEST_F(WorkerFaultTest, workerThatReportsLeavingGetsNoNewRequests) {
  std::int64_t Begin = unixMs();
  Cluster.workers().control(R"({"leaving":true})", 0);
  std::this_thread::sleep_for(FaultDuration);
  EXPECT_EQ(fractionOnFirstWorker(Begin + 2000, unixMs()), 0.0);
  auto Refused = Cluster.workers().record(0).at("refused").at("leaving");
  std::cout << "refused_leaving=" << Refused.serialize() << std::endl;
}

// Guards against new requests on a worker more than 2 s after the host list
// shows it as leaving, while the worker itself does not report that.
TEST_F(WorkerFaultTest, workerListedAsLeavingGetsNoNewRequests) {
  auto MakeHostList = [this](const std::string &State) {
    std::string Text = R"({"hosts":[)";
    for (std::size_t Index = 0; Index < Workers; ++Index)
      Text += std::string(Index ? "," : "") + R"({"name":"worker-)" +
              std::to_string(Index) + R"(","address":")" +
              Cluster.workerAddress(Index) + R"(","state":")" +
              (Index == 0 ? State : "live") +
              R"(","zone":"zone-1","rack":"rack-1"})";
    return Text + "]}";
  };
  std::int64_t Begin = unixMs();
  Cluster.platform().control(MakeHostList("leaving"));
  std::this_thread::sleep_for(FaultDuration);
  EXPECT_EQ(fractionOnFirstWorker(Begin + 2000, unixMs()), 0.0);
}

} // namespace
} // namespace jayramp
