#include "EndToEnd/RequestLoad.h"
#include "EndToEnd/TestCluster.h"

#include <cpprest/json.h>
#include <gtest/gtest.h>

#include <iostream>
#include <thread>

namespace jayramp {
namespace {

auto sum(const web::json::value &Counts) -> double {
  double Total = 0;
  for (const auto &[Name, Count] : Counts.as_object())
    Total += Count.as_double();
  return Total;
}

// Guards against control traffic that takes the platform's budget: 100 writes
// and 400 reads a second at today's size.
TEST(StoreLoadTest, steadyStateStaysWithinTheBudget) {
  TestCluster::Options Wanted;
  Wanted.EntryHosts = 8;
  Wanted.Workers = 48;
  auto Cluster = TestCluster::start(Wanted);
  RequestLoad Load(Cluster, {.Callers = 8, .KeyPrefix = "steady"});
  std::this_thread::sleep_for(std::chrono::seconds(3));
  Cluster.platform().control(R"({"reset_record":true})");
  constexpr int Seconds = 10;
  std::this_thread::sleep_for(std::chrono::seconds(Seconds));
  auto Record = Cluster.platform().record();
  auto Requests = Load.stop();
  for (const char *Field :
       {"reads", "writes", "reads_by_table", "writes_by_table"})
    for (const auto &[Name, Count] : Record.at(Field).as_object())
      std::cout << Field << " " << Name << ": " << Count.as_double() / Seconds
                << "/s\n";
  double Reads = sum(Record.at("reads")) / Seconds;
  double Writes = sum(Record.at("writes")) / Seconds;
  std::cout << "total reads " << Reads << "/s, writes " << Writes
            << "/s, requests " << Requests.size() << "\n";
  EXPECT_LT(Writes, 100);
  EXPECT_LT(Reads, 400);
  // A run without heartbeats would measure nothing.
  EXPECT_GT(Writes, 4);
  EXPECT_EQ(countResults(Requests)["ANSWERED"], Requests.size());
}

} // namespace
} // namespace jayramp
