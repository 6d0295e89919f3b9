#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/TestCluster.h"
#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <gtest/gtest.h>

#include <csignal>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace jayramp {
namespace {

constexpr std::size_t AnswerBytes = 50'000;

/// Sends a request and returns its outcome. Throws std::runtime_error if the
/// reply has another status than 200 or cannot be parsed.
auto submitAndGetOutcome(const std::string &Address, const std::string &Key,
                         bool Idempotent, int RunMs) -> v1::RequestOutcome {
  v1::SubmitRequest Request;
  Request.set_account("alpha");
  Request.set_key(Key);
  Request.set_idempotent(Idempotent);
  Request.set_work_class(v1::SHORT);
  Request.set_deadline_ms(30000);
  Request.set_payload(R"({"run_ms":)" + std::to_string(RunMs) +
                      R"(,"answer_bytes":)" + std::to_string(AnswerBytes) +
                      "}");
  auto Answer =
      HttpTestClient(Address).call("POST", "/v1/requests", renderJson(Request));
  v1::RequestOutcome Outcome;
  if (Answer.Status != 200 || !parseJson(Answer.Body, Outcome))
    throw std::runtime_error("status " + std::to_string(Answer.Status));
  return Outcome;
}

using PendingOutcomes = std::vector<std::future<v1::RequestOutcome>>;

/// Sends \p Count requests to entry host 0 and returns after 700 ms, when they
/// are running.
auto startSlowRequests(const TestCluster &Cluster, int Count, int RunMs)
    -> PendingOutcomes {
  PendingOutcomes RunningRequests;
  for (int Index = 0; Index < Count; ++Index)
    RunningRequests.push_back(std::async(
        std::launch::async, submitAndGetOutcome, Cluster.entryAddress(0),
        "slow-" + std::to_string(Index), Index % 2 == 0, RunMs));
  std::this_thread::sleep_for(Milliseconds(700));
  return RunningRequests;
}

// Guards against a planned stop that closes the connections of requests in
// progress before they are answered.
TEST(PlannedStopTest, requestsInProgressGetCompleteAnswers) {
  auto Cluster = TestCluster::start({});
  auto RunningRequests = startSlowRequests(Cluster, 16, 2500);
  auto ExitCode = Cluster.stop(0, std::chrono::seconds(20));
  for (auto &Pending : RunningRequests) {
    auto Outcome = Pending.get();
    EXPECT_EQ(Outcome.outcome(), v1::ANSWERED)
        << v1::Reason_Name(Outcome.reason()) << Outcome.detail();
    EXPECT_EQ(Outcome.answer().size(), AnswerBytes);
  }
  ASSERT_TRUE(ExitCode.has_value()) << "entry host 0 did not stop within 20 s\n"
                                    << Cluster.log(0);
  EXPECT_EQ(*ExitCode, 0) << Cluster.log(0);
  EXPECT_NE(Cluster.log(0).find("requests_cut=0"), std::string::npos)
      << Cluster.log(0);
  // The other host has to continue as the only member.
  Cluster.waitForMemberCount(1, 1, std::chrono::seconds(6));
  EXPECT_EQ(
      submitAndGetOutcome(Cluster.entryAddress(1), "after", false, 1).outcome(),
      v1::ANSWERED);
}

// Guards against a planned stop that never ends because new requests are still
// accepted, and against the outcome UNKNOWN for requests that were refused
// during the stop.
TEST(PlannedStopTest, newRequestsAreRefusedAsNotRun) {
  auto Cluster = TestCluster::start({});
  auto RunningRequests = startSlowRequests(Cluster, 2, 3000);
  Cluster.entry(0).sendSignal(SIGTERM);
  std::this_thread::sleep_for(Milliseconds(800));
  auto RefusedOutcome =
      submitAndGetOutcome(Cluster.entryAddress(0), "late", false, 1);
  EXPECT_EQ(RefusedOutcome.outcome(), v1::NOT_RUN);
  EXPECT_EQ(RefusedOutcome.reason(), v1::STOPPING);
  EXPECT_GT(RefusedOutcome.retry_after_ms(), 0U);
  EXPECT_EQ(
      HttpTestClient(Cluster.entryAddress(0)).call("GET", "/v1/ready").Status,
      503U);
  for (auto &Pending : RunningRequests)
    EXPECT_EQ(Pending.get().outcome(), v1::ANSWERED);
  EXPECT_EQ(Cluster.entry(0).waitForExit(std::chrono::seconds(15)), 0);
}

// Guards against a planned stop that an operator cannot shorten, and against a
// log that lacks the number of interrupted requests.
TEST(PlannedStopTest, secondSignalShortensTheStopAndLogsInterruptedRequests) {
  auto Cluster = TestCluster::start({});
  auto RunningRequests = startSlowRequests(Cluster, 5, 15000);
  TimePoint Start = Clock::now();
  Cluster.entry(0).sendSignal(SIGTERM);
  std::this_thread::sleep_for(Milliseconds(500));
  Cluster.entry(0).sendSignal(SIGTERM);
  auto ExitCode = Cluster.entry(0).waitForExit(std::chrono::seconds(10));
  auto StopTime =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - Start);
  ASSERT_TRUE(ExitCode.has_value()) << Cluster.log(0);
  EXPECT_EQ(*ExitCode, 3) << Cluster.log(0);
  EXPECT_LT(StopTime.count(), 8000);
  EXPECT_NE(Cluster.log(0).find("requests_cut=5"), std::string::npos)
      << Cluster.log(0);
  for (auto &Pending : RunningRequests) {
    try {
      // A reply that still arrives must not report the request as answered.
      EXPECT_NE(Pending.get().outcome(), v1::ANSWERED);
    } catch (const std::runtime_error &) {
      // The connection was closed; callers treat this as an unknown outcome.
    }
  }
}

} // namespace
} // namespace jayramp
