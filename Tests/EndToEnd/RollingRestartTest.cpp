#include "EndToEnd/RequestLoad.h"
#include "EndToEnd/TestCluster.h"

#include <gtest/gtest.h>

#include <iostream>
#include <thread>

namespace jayramp {
namespace {

auto printLatencies(const std::string &Phase,
                    const std::vector<RequestLoad::SentRequest> &Requests)
    -> void {
  std::cout << Phase << ": " << Requests.size() << " requests, p50 "
            << percentile(Requests, 0.5).count() << " ms, p99 "
            << percentile(Requests, 0.99).count() << " ms, longest "
            << percentile(Requests, 1.0).count() << " ms\n";
  for (const auto &[Result, Count] : countResults(Requests))
    std::cout << "  " << Result << ": " << Count << "\n";
}

// Guards against planned stops that close connections with requests in
// progress, cause a request to run twice or more than double the p99 latency.
TEST(RollingRestartTest, sixHostsAreReplacedWithoutACutRequest) {
  TestCluster::Options ClusterOptions;
  ClusterOptions.EntryHosts = 6;
  ClusterOptions.Workers = 24;
  // The default of the product; TestCluster otherwise uses 100 ms.
  ClusterOptions.Settings = {{"stop.grace_ms", "1000"}};
  auto Cluster = TestCluster::start(ClusterOptions);
  RequestLoad::Options LoadOptions{.Callers = 8,
                                   .Payload =
                                       R"({"run_ms":20,"answer_bytes":100})",
                                   .KeyPrefix = "roll"};
  RequestLoad Load(Cluster, LoadOptions);
  Load.followReadiness();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  TimePoint SteadyPhaseBegin = Clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(8));
  TimePoint RestartsBegin = Clock::now();
  for (std::size_t Host = 0; Host < ClusterOptions.EntryHosts; ++Host) {
    TimePoint Begin = Clock::now();
    auto Code = Cluster.stop(Host, std::chrono::seconds(20));
    ASSERT_TRUE(Code.has_value())
        << "host " << Host << " still runs 20 s after SIGTERM";
    EXPECT_EQ(*Code, 0) << "host " << Host;
    TimePoint StopEnd = Clock::now();
    Cluster.startEntry(Host);
    Cluster.waitUntilReady(Host, std::chrono::seconds(10));
    Cluster.waitForMemberCount(Host, ClusterOptions.EntryHosts,
                               std::chrono::seconds(10));
    TimePoint Ready = Clock::now();
    // Allows for the time in which an operator checks the replaced host before
    // stopping the next one.
    std::this_thread::sleep_for(std::chrono::seconds(1));
    std::cout
        << "host " << Host << ": from "
        << std::chrono::duration_cast<Milliseconds>(Begin - RestartsBegin)
               .count()
        << " ms, stopped in "
        << std::chrono::duration_cast<Milliseconds>(StopEnd - Begin).count()
        << " ms, ready after "
        << std::chrono::duration_cast<Milliseconds>(Ready - StopEnd).count()
        << " ms\n";
  }
  auto Requests = Load.stop();
  std::vector<RequestLoad::SentRequest> BeforeRestarts;
  std::vector<RequestLoad::SentRequest> DuringRestarts;
  for (const auto &Entry : Requests) {
    if (Entry.Begin >= SteadyPhaseBegin && Entry.End <= RestartsBegin)
      BeforeRestarts.push_back(Entry);
    else if (Entry.End > RestartsBegin)
      DuringRestarts.push_back(Entry);
  }
  printLatencies("steady", BeforeRestarts);
  printLatencies("rolling", DuringRestarts);
  for (const auto &[Result, Count] : countResults(Requests)) {
    EXPECT_FALSE(Result.starts_with("CUT")) << Count << " times " << Result;
    EXPECT_FALSE(Result.starts_with("UNKNOWN")) << Count << " times " << Result;
    EXPECT_FALSE(Result.starts_with("FAILED")) << Count << " times " << Result;
  }
  EXPECT_TRUE(
      keysExecutedMoreThanOnce(Cluster, ClusterOptions.Workers).empty());
  EXPECT_LE(percentile(DuringRestarts, 0.99),
            2 * percentile(BeforeRestarts, 0.99));
}

} // namespace
} // namespace jayramp
