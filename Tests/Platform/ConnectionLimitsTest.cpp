// Clients that do not keep to the limits, against one real entry host. The
// checks do not depend on the speed of the machine: the process lives, its
// memory and descriptors stay under a bound, and it answers one ordinary
// request afterwards. JAYRAMP_ENTRYD is the path of another daemon.
#include "ConnectionCrowd.h"
#include "EntryHost.h"
#include "standins/Cluster.h"
#include "standins/Http.h"
#include "standins/Record.h"

#include <gtest/gtest.h>

#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace jayramp::platform_test {
namespace {

constexpr std::size_t Megabyte = std::size_t{1} << 20U;
constexpr unsigned MemoryMb = 64;
constexpr unsigned MaxFds = 600;
/// The platform reserves 200 descriptors for files.
constexpr std::size_t MaxSockets = MaxFds - 200;
/// Descriptors that the kernel grants the process, a few of which are no
/// sockets.
constexpr rlim_t DescriptorRlimit = MaxSockets + 20;
constexpr std::size_t MaxResidentBytes = 60 * Megabyte;
constexpr std::size_t StreamBytes = 20 * Megabyte;
constexpr std::size_t CrowdSize = 350;
constexpr std::size_t MaxBodyBytes = 262144;
constexpr std::size_t HalfBodyBytes = 240000;
constexpr std::int64_t CallTimeoutMs = 3000;
constexpr int MaxTries = 20;

const std::string Head = "POST /jobs/00000000000000aa HTTP/1.1\r\n"
                         "Host: jobs.example\r\n"
                         "Authorization: Bearer key-of-tenant-a\r\n";
const std::string ChunkedHead = Head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string LongHead =
    Head + "Content-Length: " + std::to_string(MaxBodyBytes) + "\r\n";
const std::string Query = "GET /jobs/00000000000000aa HTTP/1.1\r\n"
                          "Host: jobs.example\r\n"
                          "Authorization: Bearer key-of-tenant-a\r\n\r\n";
const std::string Submission =
    R"({"spec":"work-ms-0=50 gpu-0=1",)"
    R"("steps":[{"count":1,"cpu":1000,"mem-mb":1000,"gpu":1}]})";

auto repeat(const std::string &Text, std::size_t Count) -> std::string {
  std::string Repeated;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Repeated += Text;
  return Repeated;
}

auto trailers() -> CrowdKind {
  return {20, ChunkedHead + "1\r\nx\r\n0\r\n",
          "X-Trailer: " + std::string(100, 't') + "\r\n", StreamBytes};
}

class ConnectionLimitsTest : public testing::Test {
protected:
  ConnectionLimitsTest() {
    const auto *Name =
        testing::UnitTest::GetInstance()->current_test_info()->name();
    Folder = testing::TempDir() + "/connections-" + Name + "-" +
             std::to_string(::getpid());
    std::filesystem::create_directories(Folder);
    // Never destroyed: the threads of the stand-ins use them until the process
    // ends.
    auto *Output = new review::Record(Folder + "/record.txt");
    auto *Platform = new review::Cluster(*Output);
    Platform->publishConfiguration();
    Platform->addWorkers("r0", 2, 1.0);
    StoreAddress = Platform->store().address();
  }

  auto SetUp() -> void override {
    rlimit Own{};
    ::getrlimit(RLIMIT_NOFILE, &Own);
    Own.rlim_cur = Own.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &Own);
    const auto *Given = std::getenv("JAYRAMP_ENTRYD");
    EntryHost::Options Options;
    Options.Daemon = Given ? Given : JAYRAMP_ENTRY_DAEMON;
    Options.Folder = Folder;
    Options.Name = "edge-0";
    Options.Zone = "zone-a";
    Options.Zones = {"zone-a"};
    Options.StoreAddress = StoreAddress;
    Options.MemoryMb = MemoryMb;
    Options.MaxFds = MaxFds;
    auto Started = EntryHost::start(Options);
    ASSERT_TRUE(Started) << Started.error().message();
    Host.emplace(std::move(Started).value());
    const rlimit Limit{DescriptorRlimit, DescriptorRlimit};
    ASSERT_EQ(::prlimit(Host->processId(), RLIMIT_NOFILE, &Limit, nullptr), 0);
    ASSERT_TRUE(answersOrdinaryRequest());
  }

  ~ConnectionLimitsTest() override {
    Host.reset();
    if (HasFailure())
      std::cout << "logs are kept in " << Folder << "\n";
    else
      std::filesystem::remove_all(Folder);
  }

  /// Returns whether the host answers one of several tries.
  auto answersOrdinaryRequest() -> bool {
    for (int Try = 0; Try < MaxTries && Host->isAsExpected(); ++Try) {
      const auto Answer =
          review::callHttp(Host->callerAddress(),
                           {"POST", "/jobs/00000000000000bb", "jobs.example",
                            "key-of-tenant-a", Submission},
                           CallTimeoutMs);
      if (Answer && Answer->Status == 200)
        return true;
      review::sleepMs(250);
    }
    return false;
  }

  auto isReadySoon() -> bool {
    for (int Try = 0; Try < MaxTries; ++Try) {
      if (Host->isReady())
        return true;
      review::sleepMs(250);
    }
    return false;
  }

  auto peakResidentBytes() const -> std::size_t {
    std::ifstream Status("/proc/" + std::to_string(Host->processId()) +
                         "/status");
    for (std::string Line; std::getline(Status, Line);)
      if (Line.starts_with("VmHWM:"))
        return std::strtoull(Line.c_str() + 6, nullptr, 10) * 1024;
    return 0;
  }

  auto openDescriptors() const -> std::size_t {
    std::error_code Ignored; // The process may have ended.
    const std::filesystem::directory_iterator Begin(
        "/proc/" + std::to_string(Host->processId()) + "/fd", Ignored);
    return static_cast<std::size_t>(std::distance(begin(Begin), end(Begin)));
  }

  /// Lets a crowd play against \p Address and checks the host while the
  /// connections are still open.
  auto expectHeld(const std::string &Address, const CrowdKind &Kind) -> void {
    ConnectionCrowd Crowd(Address, Kind);
    Crowd.play();
    const auto Descriptors = openDescriptors();
    EXPECT_TRUE(answersOrdinaryRequest());
    EXPECT_TRUE(isReadySoon());
    EXPECT_TRUE(Host->isAsExpected()) << "the process ended";
    const auto Peak = peakResidentBytes();
    std::cout << "sent=" << Crowd.sentBytes() << " peak-resident=" << Peak
              << " descriptors=" << Descriptors << "\n";
    EXPECT_GT(Peak, 0U);
    EXPECT_LT(Peak, MaxResidentBytes);
    EXPECT_LE(std::max(Descriptors, openDescriptors()), MaxSockets);
  }

  auto expectHeld(const CrowdKind &Kind) -> void {
    expectHeld(Host->callerAddress(), Kind);
  }

  std::string Folder;
  std::string StoreAddress;
  std::optional<EntryHost> Host;
};

TEST_F(ConnectionLimitsTest, trailersWithoutEnd) { expectHeld(trailers()); }

TEST_F(ConnectionLimitsTest, trailersWithoutEndOnReadinessAddress) {
  expectHeld(Host->readinessAddress(), trailers());
}

TEST_F(ConnectionLimitsTest, trailersWithoutEndOnInternalAddress) {
  expectHeld(Host->peerAddress(), trailers());
}

TEST_F(ConnectionLimitsTest, chunkExtensionsWithoutEnd) {
  expectHeld({20, ChunkedHead + "1;x=", "e", StreamBytes});
}

TEST_F(ConnectionLimitsTest, veryManyTinyChunks) {
  expectHeld({20, ChunkedHead, "1\r\n \r\n", StreamBytes});
}

TEST_F(ConnectionLimitsTest, headerLinesWithoutEnd) {
  expectHeld(
      {20, Head, "X-Line: " + std::string(100, 'h') + "\r\n", StreamBytes});
}

// Short header lines take many times their size once they are parsed.
TEST_F(ConnectionLimitsTest, manyHeaderLinesBeforeHalfABody) {
  expectHeld({CrowdSize, LongHead + repeat("a:\r\n", 3900) + "\r\n{"});
}

TEST_F(ConnectionLimitsTest, pipelinedRequestsBehindOneBeingAnswered) {
  expectHeld({20, Query, Query, 2 * Megabyte});
}

TEST_F(ConnectionLimitsTest, answersThatAreNotRead) {
  expectHeld({20, Query, Query, StreamBytes, false});
}

TEST_F(ConnectionLimitsTest, idleConnections) { expectHeld({CrowdSize}); }

TEST_F(ConnectionLimitsTest, halfHeaders) { expectHeld({CrowdSize, Head}); }

TEST_F(ConnectionLimitsTest, halfBodies) {
  expectHeld({CrowdSize, LongHead + "\r\n" + std::string(HalfBodyBytes, ' ')});
}

TEST_F(ConnectionLimitsTest, moreConnectionsThanDescriptors) {
  expectHeld({MaxFds});
}

// Guards against limits that refuse what is inside the limits of the
// configuration.
TEST_F(ConnectionLimitsTest, largestRequestsInsideTheLimitsAreServed) {
  const auto Pad = std::string(MaxBodyBytes - Submission.size(), ' ');
  const auto Answer =
      review::callHttp(Host->callerAddress(),
                       {"POST", "/jobs/00000000000000cc", "jobs.example",
                        "key-of-tenant-a", Submission + Pad},
                       CallTimeoutMs);
  ASSERT_TRUE(Answer);
  EXPECT_EQ(Answer->Status, 200U);
}

TEST_F(ConnectionLimitsTest, largestChunkedRequestWithTrailersIsServed) {
  std::string Message = ChunkedHead;
  std::string Body = Submission + std::string(MaxBodyBytes, ' ');
  Body.resize(MaxBodyBytes);
  constexpr std::size_t ChunkBytes = 1024; // 0x400
  for (std::size_t At = 0; At < Body.size(); At += ChunkBytes)
    Message += "400\r\n" + Body.substr(At, ChunkBytes) + "\r\n";
  Message += "0\r\nX-Checksum: " + std::string(100, 'c') + "\r\n\r\n";
  ConnectionCrowd Client(Host->callerAddress(), {1, Message});
  Client.play();
  Client.waitForAnswers();
  ASSERT_EQ(Client.answers().size(), 1U);
  EXPECT_TRUE(Client.answers()[0].starts_with("HTTP/1.1 200"))
      << Client.answers()[0];
}

} // namespace
} // namespace jayramp::platform_test
