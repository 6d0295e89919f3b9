#include "EndToEnd/RequestLoad.h"
#include "EndToEnd/TestCluster.h"

#include <cpprest/json.h>
#include <gtest/gtest.h>

#include <iostream>
#include <thread>

namespace jayramp {
namespace {

auto sumOfFields(const web::json::value &Counts) -> double {
  double Total = 0;
  for (const auto &[Name, Count] : Counts.as_object())
    Total += Count.as_double();
  return Total;
}

// Guards against control traffic that exceeds the store budget, which is 100
// writes and 400 reads per second for 8 entry hosts and 48 workers.
TEST(StoreLoadTest, steadyStateStaysWithinTheBudget) {
  TestCluster::Options ClusterOptions;
  ClusterOptions.EntryHosts = 8;
  ClusterOptions.Workers = 48;
  auto Cluster = TestCluster::start(ClusterOptions);
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
  double Reads = sumOfFields(Record.at("reads")) / Seconds;
  double Writes = sumOfFields(Record.at("writes")) / Seconds;
  std::cout << "total reads " << Reads << "/s, writes " << Writes
            << "/s, requests " << Requests.size() << "\n";
  EXPECT_LT(Writes, 100);
  EXPECT_LT(Reads, 400);
  // Without heartbeats, the measurement would not include control traffic.
  EXPECT_GT(Writes, 4);
  EXPECT_EQ(countResults(Requests)["ANSWERED"], Requests.size());
}

} // namespace
} // namespace jayramp
