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
constexpr Milliseconds WorkTime{10};
// A worker with a fault must have lost its traffic after this time.
constexpr Milliseconds LossTime{2000};
constexpr Milliseconds FaultTime{6000};
constexpr Milliseconds ReturnTime{12000};

auto unixMs() -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class WorkerFaultTest : public testing::Test {
protected:
  WorkerFaultTest()
      : Seed(chooseRandomSeed()), Cluster(TestCluster::start(wanted())) {
    for (std::size_t Caller = 0; Caller < Callers; ++Caller)
      Threads.emplace_back([this, Caller] { run(Caller); });
    std::this_thread::sleep_for(Milliseconds(2000));
  }
  ~WorkerFaultTest() override {
    Ended = true;
    for (auto &Thread : Threads)
      Thread.join();
    std::cout << "answered=" << Answered << " failed=" << Failed
              << " not_run=" << NotRun << " unknown=" << Unknown
              << " silent=" << Silent << std::endl;
  }

  static auto wanted() -> TestCluster::Options {
    TestCluster::Options Wanted;
    Wanted.EntryHosts = EntryHosts;
    Wanted.Workers = Workers;
    // One owner sees all workers, as latency is judged among its own.
    Wanted.WorkersPerRack = Workers;
    Wanted.Settings["workers.attempt_timeout_ms"] = "1000";
    return Wanted;
  }

  /// Part of all executions from \p From to \p To that started on worker 0.
  auto shareOfFirst(std::int64_t From, std::int64_t To) -> double {
    double First = 0;
    double All = 0;
    for (std::size_t Index = 0; Index < Workers; ++Index) {
      auto Record = Cluster.workers().record(static_cast<int>(Index));
      for (const auto &Execution : Record.at("executions").as_array()) {
        auto Start = Execution.at("start_ms").as_number().to_int64();
        if (Start < From || Start >= To)
          continue;
        All += 1;
        First += Index == 0 ? 1 : 0;
      }
    }
    EXPECT_GT(All, 0);
    return First / std::max(1.0, All);
  }

  /// Sets a fault on worker 0, ends it, and judges its traffic.
  auto expectLossAndReturn(const std::string &On, const std::string &Off)
      -> void {
    std::int64_t Begin = unixMs();
    Cluster.workers().control(On, 0);
    std::this_thread::sleep_for(FaultTime);
    std::int64_t End = unixMs();
    Cluster.workers().control(Off, 0);
    std::this_thread::sleep_for(ReturnTime);
    double Before = shareOfFirst(Begin - 1500, Begin);
    double During = shareOfFirst(Begin + LossTime.count(), End);
    double After =
        shareOfFirst(End + ReturnTime.count() - 2000, End + ReturnTime.count());
    std::cout << "share_before=" << Before << " share_during=" << During
              << " share_after=" << After << std::endl;
    EXPECT_GT(Before, 0.1);
    // Single trials remain.
    EXPECT_LT(During, 0.02);
    EXPECT_GT(After, 0.1);
  }

  unsigned Seed;
  TestCluster Cluster;
  std::atomic<int> Answered{0};
  std::atomic<int> Failed{0};
  std::atomic<int> NotRun{0};
  std::atomic<int> Unknown{0};
  std::atomic<int> Silent{0};

private:
  auto run(std::size_t Caller) -> void {
    HttpTestClient Client(Cluster.entryAddress(Caller % EntryHosts));
    for (int Number = 0; !Ended; ++Number) {
      auto Request = makeTestRequest("w" + std::to_string(Caller) + "-" +
                                         std::to_string(Number),
                                     true, WorkTime, Milliseconds(4000));
      auto Outcome = submitRequest(Client, Request, Milliseconds(8000));
      auto Word = Outcome ? Outcome->outcome() : v1::OUTCOME_UNSPECIFIED;
      ++(Word == v1::ANSWERED  ? Answered
         : Word == v1::FAILED  ? Failed
         : Word == v1::NOT_RUN ? NotRun
         : Word == v1::UNKNOWN ? Unknown
                               : Silent);
    }
  }

  std::atomic<bool> Ended{false};
  std::vector<std::thread> Threads;
};

// Guards against a worker that fails everything at once and therefore always
// looks idle.
TEST_F(WorkerFaultTest, workerThatFailsEverythingLosesItsTraffic) {
  expectLossAndReturn(R"({"fail_everything":true})",
                      R"({"fail_everything":false})");
}

// Guards against a slow worker that holds up a quarter of the requests.
TEST_F(WorkerFaultTest, slowWorkerLosesItsTraffic) {
  expectLossAndReturn(R"({"delay_ms":300})", R"({"delay_ms":0})");
}

// Guards against connections that never answer again and are used again.
TEST_F(WorkerFaultTest, silentWorkerLosesItsTraffic) {
  expectLossAndReturn(R"({"silent":true})", R"({"silent":false})");
}

// Guards against new work on a worker later than 2 s after it said that it
// leaves.
TEST_F(WorkerFaultTest, workerThatAnswersLeavingGetsNothingNew) {
  std::int64_t Begin = unixMs();
  Cluster.workers().control(R"({"leaving":true})", 0);
  std::this_thread::sleep_for(FaultTime);
  EXPECT_EQ(shareOfFirst(Begin + 2000, unixMs()), 0.0);
  auto Refused = Cluster.workers().record(0).at("refused").at("leaving");
  std::cout << "refused_leaving=" << Refused.serialize() << std::endl;
}

// Guards against new work on a worker later than 2 s after the host list shows
// it as leaving; the worker itself does not know.
TEST_F(WorkerFaultTest, workerListedAsLeavingGetsNothingNew) {
  auto Listed = [this](const std::string &State) {
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
  Cluster.platform().control(Listed("leaving"));
  std::this_thread::sleep_for(FaultTime);
  EXPECT_EQ(shareOfFirst(Begin + 2000, unixMs()), 0.0);
}

} // namespace
} // namespace jayramp
