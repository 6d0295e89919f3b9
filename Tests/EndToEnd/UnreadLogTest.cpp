#include "EndToEnd/RequestLoad.h"
#include "EndToEnd/TestCluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <thread>

namespace jayramp {
namespace {

constexpr std::size_t PipeBytes = 65536;
// Far above an answer, far below the time that a full pipe would take.
constexpr Milliseconds Most{2000};
constexpr std::chrono::seconds LoadTime{6};

struct Outcome {
  std::size_t Requests = 0;
  std::size_t Answered = 0;
  Milliseconds Longest{0};
  std::size_t LogBytes = 0;
};

auto runLoad(bool LogToUnreadPipes) -> Outcome {
  TestCluster::Options Wanted;
  Wanted.LogToUnreadPipes = LogToUnreadPipes;
  Wanted.Settings = {{"log.level", "debug"},
                     {"log.lines_per_second", "1000000"},
                     {"log.bytes_per_second", "1000000000"}};
  auto Cluster = TestCluster::start(Wanted);
  RequestLoad Load(Cluster, {.Callers = 16, .KeyPrefix = "unread"});
  std::this_thread::sleep_for(LoadTime);
  auto Requests = Load.stop();
  Outcome Result;
  Result.Requests = Requests.size();
  Result.Answered = countResults(Requests)["ANSWERED"];
  Result.Longest = percentile(Requests, 1.0);
  if (!LogToUnreadPipes)
    Result.LogBytes = std::min(Cluster.log(0).size(), Cluster.log(1).size());
  std::cout << "unread=" << LogToUnreadPipes << " requests=" << Result.Requests
            << " answered=" << Result.Answered
            << " p50_ms=" << percentile(Requests, 0.5).count()
            << " longest_ms=" << Result.Longest.count()
            << " log_bytes=" << Result.LogBytes << "\n";
  return Result;
}

// Guards against requests that wait, or are lost, because nobody reads the log.
TEST(UnreadLogTest, fullPipeCostsNoRequest) {
  auto Read = runLoad(false);
  ASSERT_GT(Read.LogBytes, 2 * PipeBytes) << "the pipe would not be full";
  auto Unread = runLoad(true);
  EXPECT_EQ(Unread.Answered, Unread.Requests);
  EXPECT_GT(Unread.Requests, Read.Requests / 2);
  EXPECT_LT(Unread.Longest, Most);
}

} // namespace
} // namespace jayramp
