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

auto submit(const std::string &Address, const std::string &Key, bool Idempotent,
            int RunMs) -> v1::RequestOutcome {
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

using Sent = std::vector<std::future<v1::RequestOutcome>>;

/// Sends requests to entry host 0 and returns once they run.
auto sendSlowRequests(const TestCluster &Cluster, int Count, int RunMs)
    -> Sent {
  Sent Running;
  for (int Index = 0; Index < Count; ++Index)
    Running.push_back(
        std::async(std::launch::async, submit, Cluster.entryAddress(0),
                   "slow-" + std::to_string(Index), Index % 2 == 0, RunMs));
  std::this_thread::sleep_for(Milliseconds(700));
  return Running;
}

// Guards against a stop that closes connections of requests in progress.
TEST(PlannedStopTest, requestsInProgressGetWholeAnswers) {
  auto Cluster = TestCluster::start({});
  auto Running = sendSlowRequests(Cluster, 16, 2500);
  auto Code = Cluster.stop(0, std::chrono::seconds(20));
  for (auto &Each : Running) {
    auto Outcome = Each.get();
    EXPECT_EQ(Outcome.outcome(), v1::ANSWERED)
        << v1::Reason_Name(Outcome.reason()) << Outcome.detail();
    EXPECT_EQ(Outcome.answer().size(), AnswerBytes);
  }
  ASSERT_TRUE(Code.has_value()) << "it did not stop\n" << Cluster.log(0);
  EXPECT_EQ(*Code, 0) << Cluster.log(0);
  EXPECT_NE(Cluster.log(0).find("requests_cut=0"), std::string::npos)
      << Cluster.log(0);
  // The other host goes on alone.
  Cluster.waitForMemberCount(1, 1, std::chrono::seconds(6));
  EXPECT_EQ(submit(Cluster.entryAddress(1), "after", false, 1).outcome(),
            v1::ANSWERED);
}

// Guards against a stop that new requests keep from ending, and against
// "unknown" for requests that the stop refused.
TEST(PlannedStopTest, newRequestsAreRefusedAsNotRun) {
  auto Cluster = TestCluster::start({});
  auto Running = sendSlowRequests(Cluster, 2, 3000);
  Cluster.entry(0).sendSignal(SIGTERM);
  std::this_thread::sleep_for(Milliseconds(800));
  auto Refused = submit(Cluster.entryAddress(0), "late", false, 1);
  EXPECT_EQ(Refused.outcome(), v1::NOT_RUN);
  EXPECT_EQ(Refused.reason(), v1::STOPPING);
  EXPECT_GT(Refused.retry_after_ms(), 0U);
  EXPECT_EQ(
      HttpTestClient(Cluster.entryAddress(0)).call("GET", "/v1/ready").Status,
      503U);
  for (auto &Each : Running)
    EXPECT_EQ(Each.get().outcome(), v1::ANSWERED);
  EXPECT_EQ(Cluster.entry(0).waitForExit(std::chrono::seconds(15)), 0);
}

// Guards against a stop that an operator cannot end, and against a count of
// interrupted requests that is missing from the log.
TEST(PlannedStopTest, secondSignalEndsEarlyAndLogsTheCount) {
  auto Cluster = TestCluster::start({});
  auto Running = sendSlowRequests(Cluster, 5, 15000);
  TimePoint Start = Clock::now();
  Cluster.entry(0).sendSignal(SIGTERM);
  std::this_thread::sleep_for(Milliseconds(500));
  Cluster.entry(0).sendSignal(SIGTERM);
  auto Code = Cluster.entry(0).waitForExit(std::chrono::seconds(10));
  auto Took = std::chrono::duration_cast<Milliseconds>(Clock::now() - Start);
  ASSERT_TRUE(Code.has_value()) << Cluster.log(0);
  EXPECT_EQ(*Code, 3) << Cluster.log(0);
  EXPECT_LT(Took.count(), 8000);
  EXPECT_NE(Cluster.log(0).find("requests_cut=5"), std::string::npos)
      << Cluster.log(0);
  for (auto &Each : Running) {
    try {
      // Whatever still arrives must not claim an answer.
      EXPECT_NE(Each.get().outcome(), v1::ANSWERED);
    } catch (const std::runtime_error &) {
      // The connection broke, which callers treat as unknown.
    }
  }
}

} // namespace
} // namespace jayramp
