#include "EndToEnd/RequestLoad.h"
#include "EndToEnd/TestCluster.h"

#include <cpprest/json.h>
#include <gtest/gtest.h>

#include <iostream>

namespace jayramp {
namespace {

// Guards against a start of all entry hosts at the same time after which keys
// are refused, because most hosts skipped most of the eight views.
TEST(ColdStartTest, eightHostsGrantNonIdempotentRequestsWithinFiveSeconds) {
  TestCluster::Options Wanted;
  Wanted.EntryHosts = 8;
  Wanted.Workers = 12;
  TimePoint Begin = Clock::now();
  auto Cluster = TestCluster::start(Wanted);
  TimePoint Ready = Clock::now();
  RequestLoad Load(Cluster, {.Callers = 16, .KeyPrefix = "cold"});
  std::this_thread::sleep_for(std::chrono::seconds(5));
  auto Requests = Load.stop();
  auto Results = countResults(Requests);
  for (const auto &[Result, Count] : Results)
    std::cout << Result << ": " << Count << "\n";
  TimePoint Last = Ready;
  for (const auto &Entry : Requests)
    if (Entry.Begin - Ready < Milliseconds(200))
      Last = std::max(Last, Entry.End);
  std::cout << "start_ms="
            << std::chrono::duration_cast<Milliseconds>(Ready - Begin).count()
            << " requests of the first 200 ms answered after ms="
            << std::chrono::duration_cast<Milliseconds>(Last - Ready).count()
            << "\n";
  // Enough keys that nearly every one of the 256 shards is used.
  EXPECT_GT(Requests.size(), 1000U);
  EXPECT_EQ(Results["ANSWERED"], Requests.size());
  EXPECT_LT(Last - Ready, Milliseconds(5000));
  EXPECT_TRUE(keysExecutedMoreThanOnce(Cluster, Wanted.Workers).empty());
}

} // namespace
} // namespace jayramp
