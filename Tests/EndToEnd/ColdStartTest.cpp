#include "EndToEnd/RequestLoad.h"
#include "EndToEnd/TestCluster.h"

#include <cpprest/json.h>
#include <gtest/gtest.h>

#include <iostream>

namespace jayramp {
namespace {

// Guards against refused request keys after all entry hosts start at the same
// time. Eight membership views follow each other within a short time then, and
// most hosts never adopt most of them.
TEST(ColdStartTest, eightHostsServeNonIdempotentRequestsWithinFiveSeconds) {
  TestCluster::Options ClusterOptions;
  ClusterOptions.EntryHosts = 8;
  ClusterOptions.Workers = 12;
  TimePoint StartedAt = Clock::now();
  auto Cluster = TestCluster::start(ClusterOptions);
  TimePoint ReadyAt = Clock::now();
  RequestLoad Load(Cluster, {.Callers = 16, .KeyPrefix = "cold"});
  std::this_thread::sleep_for(std::chrono::seconds(5));
  auto Requests = Load.stop();
  auto Results = countResults(Requests);
  for (const auto &[Result, Count] : Results)
    std::cout << Result << ": " << Count << "\n";
  TimePoint LastEarlyAnswerAt = ReadyAt;
  for (const auto &Request : Requests)
    if (Request.Begin - ReadyAt < Milliseconds(200))
      LastEarlyAnswerAt = std::max(LastEarlyAnswerAt, Request.End);
  std::cout
      << "start_ms="
      << std::chrono::duration_cast<Milliseconds>(ReadyAt - StartedAt).count()
      << " requests of the first 200 ms answered after ms="
      << std::chrono::duration_cast<Milliseconds>(LastEarlyAnswerAt - ReadyAt)
             .count()
      << "\n";
  // With this many keys nearly every one of the 256 key shards is used.
  EXPECT_GT(Requests.size(), 1000U);
  EXPECT_EQ(Results["ANSWERED"], Requests.size());
  EXPECT_LT(LastEarlyAnswerAt - ReadyAt, Milliseconds(5000));
  EXPECT_TRUE(
      keysExecutedMoreThanOnce(Cluster, ClusterOptions.Workers).empty());
}

} // namespace
} // namespace jayramp
