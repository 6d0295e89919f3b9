#include "EndToEnd/RequestLoad.h"
#include "EndToEnd/TestCluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <thread>

namespace jayramp {
namespace {

/// Default capacity of a pipe in Linux.
constexpr std::size_t PipeBytes = 65536;
// Far above the latency of a request, and far below the time for which a write
// to a full pipe would block.
constexpr Milliseconds MaximumLatency{2000};
constexpr std::chrono::seconds LoadDuration{6};

struct LoadResult {
  std::size_t Requests = 0;
  std::size_t Answered = 0;
  Milliseconds LongestLatency{0};
  std::size_t LogBytes = 0;
};

auto runLoad(bool LogToUnreadPipes) -> LoadResult {
  TestCluster::Options ClusterOptions;
  ClusterOptions.LogToUnreadPipes = LogToUnreadPipes;
  ClusterOptions.Settings = {{"log.level", "debug"},
                             {"log.lines_per_second", "1000000"},
                             {"log.bytes_per_second", "1000000000"}};
  auto Cluster = TestCluster::start(ClusterOptions);
  RequestLoad Load(Cluster, {.Callers = 16, .KeyPrefix = "unread"});
  std::this_thread::sleep_for(LoadDuration);
  auto Requests = Load.stop();
  LoadResult Result;
  Result.Requests = Requests.size();
  Result.Answered = countResults(Requests)["ANSWERED"];
  Result.LongestLatency = percentile(Requests, 1.0);
  if (!LogToUnreadPipes)
    Result.LogBytes = std::min(Cluster.log(0).size(), Cluster.log(1).size());
  std::cout << "unread=" << LogToUnreadPipes << " requests=" << Result.Requests
            << " answered=" << Result.Answered
            << " p50_ms=" << percentile(Requests, 0.5).count()
            << " longest_ms=" << Result.LongestLatency.count()
            << " log_bytes=" << Result.LogBytes << "\n";
  return Result;
}

// Guards against requests that are delayed or fail because an entry host blocks
// on writing its log to a full pipe.
TEST(UnreadLogTest, fullLogPipeNeitherDelaysNorFailsRequests) {
  auto ResultWithReadLogs = runLoad(false);
  ASSERT_GT(ResultWithReadLogs.LogBytes, 2 * PipeBytes)
      << "this load writes too little log output to fill a pipe";
  auto ResultWithUnreadLogs = runLoad(true);
  EXPECT_EQ(ResultWithUnreadLogs.Answered, ResultWithUnreadLogs.Requests);
  EXPECT_GT(ResultWithUnreadLogs.Requests, ResultWithReadLogs.Requests / 2);
  EXPECT_LT(ResultWithUnreadLogs.LongestLatency, MaximumLatency);
}

} // namespace
} // namespace jayramp
