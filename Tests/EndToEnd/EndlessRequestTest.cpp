#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/TestCluster.h"
#include "Platform/ConnectionCrowd.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace jayramp {
namespace {

constexpr std::size_t Megabyte = std::size_t{1} << 20U;
constexpr std::size_t MaxGrowthBytes = 100 * Megabyte;

auto peakResidentBytes(pid_t Process) -> std::size_t {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::strtoull(Line.c_str() + 6, nullptr, 10) * 1024;
  return 0;
}

// Guards against requests without end that grow jayrampd.
TEST(EndlessRequestTest, doesNotGrowTheProcess) {
  TestCluster::Options Options;
  Options.EntryHosts = 1;
  auto Cluster = TestCluster::start(Options);
  const auto Process = Cluster.entry(0).processId();
  const auto Before = peakResidentBytes(Process);
  const std::string Head = "POST /v1/requests HTTP/1.1\r\nHost: x\r\n";
  const auto Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> Kinds{
      {Chunked + "1\r\nx\r\n0\r\n", "X-Trailer: value\r\n"},
      {Chunked + "1;x=", "e"},
      {Chunked, "400\r\n" + std::string(0x400, 'x') + "\r\n"},
      {Head, "X-Line: value\r\n"}};
  for (const auto &[Opening, Filler] : Kinds) {
    platform_test::ConnectionCrowd Crowd(Cluster.entryAddress(0),
                                         {20, Opening, Filler, 20 * Megabyte});
    Crowd.play();
    EXPECT_EQ(HttpTestClient(Cluster.entryAddress(0))
                  .call("GET", "/v1/status")
                  .Status,
              200U);
    const auto Growth = peakResidentBytes(Process) - Before;
    std::cout << "sent=" << Crowd.sentBytes() << " growth=" << Growth << "\n";
    EXPECT_LT(Growth, MaxGrowthBytes) << Opening << Filler.substr(0, 20);
  }
  EXPECT_TRUE(Cluster.entry(0).running());
}

} // namespace
} // namespace jayramp
