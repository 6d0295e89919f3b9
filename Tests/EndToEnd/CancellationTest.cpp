#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/RequestCaller.h"
#include "EndToEnd/TestCluster.h"

#include <gtest/gtest.h>

#include <atomic>
#include <iostream>
#include <thread>

namespace jayramp {
namespace {

constexpr std::size_t QueuedRequests = 2000;
constexpr std::size_t CancellingThreads = 16;

// Guards against cancelled requests that run, callers that receive no outcome,
// and an entry host that is blocked by 2000 cancellations in a short time.
TEST(CancellationTest, massCancellationRemovesQueuedRequests) {
  TestCluster::Options ClusterOptions;
  ClusterOptions.EntryHosts = 2;
  ClusterOptions.Workers = 1;
  ClusterOptions.WorkerArguments = {"--slots", "1"};
  ClusterOptions.Configuration =
      R"({"accounts":[{"name":"alpha","request_share":100}],)"
      R"("queue_limit":100000})";
  auto Cluster = TestCluster::start(ClusterOptions);
  auto KeyOf = [](std::size_t Index) { return "c" + std::to_string(Index); };
  std::vector<std::optional<v1::RequestOutcome>> Outcomes(QueuedRequests);
  std::vector<std::thread> Callers;
  for (std::size_t Index = 0; Index < QueuedRequests; ++Index)
    Callers.emplace_back([&, Index] {
      HttpTestClient Client(Cluster.entryAddress(0));
      auto Request = makeTestRequest(KeyOf(Index), Index % 2 == 0,
                                     Milliseconds(200), Milliseconds(60000));
      Outcomes[Index] = submitRequest(Client, Request, Milliseconds(60000));
    });
  // Lets all requests reach the queue of the entry host.
  std::this_thread::sleep_for(Milliseconds(2000));
  std::atomic<std::size_t> NextIndex{0};
  std::atomic<int> CancelledCount{0};
  std::atomic<int> AlreadyAtWorker{0};
  std::atomic<int> NotFound{0};
  TimePoint Begin = Clock::now();
  std::vector<std::thread> Threads;
  for (std::size_t Thread = 0; Thread < CancellingThreads; ++Thread)
    Threads.emplace_back([&] {
      HttpTestClient Client(Cluster.entryAddress(0));
      for (std::size_t Index = NextIndex++; Index < QueuedRequests;
           Index = NextIndex++) {
        auto Status =
            Client.call("DELETE", "/v1/requests/alpha/" + KeyOf(Index)).Status;
        ++(Status == 200   ? CancelledCount
           : Status == 409 ? AlreadyAtWorker
                           : NotFound);
      }
    });
  for (auto &Thread : Threads)
    Thread.join();
  auto DurationMs =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - Begin).count();
  for (auto &Caller : Callers)
    Caller.join();
  auto Executions = countExecutionsByKey(Cluster, 1);
  int CancelledOutcomes = 0;
  for (std::size_t Index = 0; Index < QueuedRequests; ++Index) {
    ASSERT_TRUE(Outcomes[Index]) << KeyOf(Index);
    const auto &Outcome = *Outcomes[Index];
    if (Outcome.outcome() != v1::NOT_RUN)
      continue;
    EXPECT_EQ(Executions[KeyOf(Index)], 0) << KeyOf(Index);
    CancelledOutcomes += Outcome.reason() == v1::CANCELLED ? 1 : 0;
  }
  std::cout << "cancelled=" << CancelledCount
            << " cancelled_outcomes=" << CancelledOutcomes
            << " at_worker=" << AlreadyAtWorker << " not_found=" << NotFound
            << " time_ms=" << DurationMs << std::endl;
  EXPECT_EQ(CancelledOutcomes, CancelledCount);
  EXPECT_GT(CancelledCount, static_cast<int>(QueuedRequests * 9 / 10));
  EXPECT_LT(DurationMs, 5000);
}

} // namespace
} // namespace jayramp
