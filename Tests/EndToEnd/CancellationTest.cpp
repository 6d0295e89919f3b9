#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/RequestCaller.h"
#include "EndToEnd/TestCluster.h"

#include <gtest/gtest.h>

#include <atomic>
#include <iostream>
#include <thread>

namespace jayramp {
namespace {

constexpr std::size_t Waiting = 2000;
constexpr std::size_t Cancellers = 16;

// Guards against cancelled requests that run, callers that get no outcome, and
// a wave of cancellations that holds up the entry host.
TEST(CancellationTest, waveTakesWaitingRequestsOutOfTheQueue) {
  TestCluster::Options Wanted;
  Wanted.EntryHosts = 2;
  Wanted.Workers = 1;
  Wanted.WorkerArguments = {"--slots", "1"};
  Wanted.Configuration =
      R"({"accounts":[{"name":"alpha","request_share":100}],)"
      R"("queue_limit":100000})";
  auto Cluster = TestCluster::start(Wanted);
  auto KeyOf = [](std::size_t Number) { return "c" + std::to_string(Number); };
  std::vector<std::optional<v1::RequestOutcome>> Outcomes(Waiting);
  std::vector<std::thread> Callers;
  for (std::size_t Number = 0; Number < Waiting; ++Number)
    Callers.emplace_back([&, Number] {
      HttpTestClient Client(Cluster.entryAddress(0));
      auto Request = makeTestRequest(KeyOf(Number), Number % 2 == 0,
                                     Milliseconds(200), Milliseconds(60000));
      Outcomes[Number] = submitRequest(Client, Request, Milliseconds(60000));
    });
  std::this_thread::sleep_for(Milliseconds(2000));
  std::atomic<std::size_t> Next{0};
  std::atomic<int> Cancelled{0};
  std::atomic<int> Conflicts{0};
  std::atomic<int> Absent{0};
  TimePoint Begin = Clock::now();
  std::vector<std::thread> Threads;
  for (std::size_t Thread = 0; Thread < Cancellers; ++Thread)
    Threads.emplace_back([&] {
      HttpTestClient Client(Cluster.entryAddress(0));
      for (std::size_t Number = Next++; Number < Waiting; Number = Next++) {
        auto Status =
            Client.call("DELETE", "/v1/requests/alpha/" + KeyOf(Number)).Status;
        ++(Status == 200 ? Cancelled : Status == 409 ? Conflicts : Absent);
      }
    });
  for (auto &Thread : Threads)
    Thread.join();
  auto Taken =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - Begin).count();
  for (auto &Caller : Callers)
    Caller.join();
  auto Executions = countExecutionsByKey(Cluster, 1);
  int Told = 0;
  for (std::size_t Number = 0; Number < Waiting; ++Number) {
    ASSERT_TRUE(Outcomes[Number]) << KeyOf(Number);
    const auto &Word = *Outcomes[Number];
    if (Word.outcome() != v1::NOT_RUN)
      continue;
    EXPECT_EQ(Executions[KeyOf(Number)], 0) << KeyOf(Number);
    Told += Word.reason() == v1::CANCELLED ? 1 : 0;
  }
  std::cout << "cancelled=" << Cancelled << " told=" << Told
            << " at_worker=" << Conflicts << " absent=" << Absent
            << " time_ms=" << Taken << std::endl;
  EXPECT_EQ(Told, Cancelled);
  EXPECT_GT(Cancelled, static_cast<int>(Waiting * 9 / 10));
  EXPECT_LT(Taken, 5000);
}

} // namespace
} // namespace jayramp
