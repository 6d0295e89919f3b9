#include "EndToEnd/RequestLoad.h"
#include "EndToEnd/TestCluster.h"

#include <gtest/gtest.h>

#include <iostream>
#include <thread>

namespace jayramp {
namespace {

auto print(const std::string &Phase,
           const std::vector<RequestLoad::SentRequest> &Requests) -> void {
  std::cout << Phase << ": " << Requests.size() << " requests, p50 "
            << percentile(Requests, 0.5).count() << " ms, p99 "
            << percentile(Requests, 0.99).count() << " ms, longest "
            << percentile(Requests, 1.0).count() << " ms\n";
  for (const auto &[Result, Count] : countResults(Requests))
    std::cout << "  " << Result << ": " << Count << "\n";
}

// Guards against a planned stop that cuts requests in progress, runs them
// twice or makes short work slow.
TEST(RollingRestartTest, sixHostsAreReplacedWithoutACutRequest) {
  TestCluster::Options Wanted;
  Wanted.EntryHosts = 6;
  Wanted.Workers = 24;
  // The grace period of the product, not the short one of other tests.
  Wanted.Settings = {{"stop.grace_ms", "1000"}};
  auto Cluster = TestCluster::start(Wanted);
  RequestLoad::Options Callers{.Callers = 8,
                               .Payload = R"({"run_ms":20,"answer_bytes":100})",
                               .KeyPrefix = "roll"};
  RequestLoad Load(Cluster, Callers);
  Load.followReadiness();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  TimePoint SteadyBegin = Clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(8));
  TimePoint RollBegin = Clock::now();
  for (std::size_t Host = 0; Host < Wanted.EntryHosts; ++Host) {
    TimePoint Begin = Clock::now();
    auto Code = Cluster.stop(Host, std::chrono::seconds(20));
    ASSERT_TRUE(Code.has_value()) << "host " << Host << " still runs";
    EXPECT_EQ(*Code, 0) << "host " << Host;
    TimePoint Ended = Clock::now();
    Cluster.startEntry(Host);
    Cluster.waitUntilReady(Host, std::chrono::seconds(10));
    Cluster.waitForMemberCount(Host, Wanted.EntryHosts,
                               std::chrono::seconds(10));
    TimePoint Ready = Clock::now();
    // An operator looks at a replaced host before going on to the next.
    std::this_thread::sleep_for(std::chrono::seconds(1));
    std::cout
        << "host " << Host << ": from "
        << std::chrono::duration_cast<Milliseconds>(Begin - RollBegin).count()
        << " ms, stopped in "
        << std::chrono::duration_cast<Milliseconds>(Ended - Begin).count()
        << " ms, ready after "
        << std::chrono::duration_cast<Milliseconds>(Ready - Ended).count()
        << " ms\n";
  }
  auto Requests = Load.stop();
  std::vector<RequestLoad::SentRequest> Steady;
  std::vector<RequestLoad::SentRequest> Rolling;
  for (const auto &Entry : Requests) {
    if (Entry.Begin >= SteadyBegin && Entry.End <= RollBegin)
      Steady.push_back(Entry);
    else if (Entry.End > RollBegin)
      Rolling.push_back(Entry);
  }
  print("steady", Steady);
  print("rolling", Rolling);
  for (const auto &[Result, Count] : countResults(Requests)) {
    EXPECT_FALSE(Result.starts_with("CUT")) << Count << " times " << Result;
    EXPECT_FALSE(Result.starts_with("UNKNOWN")) << Count << " times " << Result;
    EXPECT_FALSE(Result.starts_with("FAILED")) << Count << " times " << Result;
  }
  EXPECT_TRUE(keysExecutedMoreThanOnce(Cluster, Wanted.Workers).empty());
  EXPECT_LE(percentile(Rolling, 0.99), 2 * percentile(Steady, 0.99));
}

} // namespace
} // namespace jayramp
