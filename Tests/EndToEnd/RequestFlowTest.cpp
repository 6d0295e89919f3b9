#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/TestCluster.h"
#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <cpprest/json.h>
#include <gtest/gtest.h>

#include <random>
#include <string>

namespace jayramp {
namespace {

auto makeRequest(const std::string &Key, bool Idempotent,
                 const std::string &Payload) -> v1::SubmitRequest {
  v1::SubmitRequest Request;
  Request.set_account("alpha");
  Request.set_key(Key);
  Request.set_idempotent(Idempotent);
  Request.set_work_class(v1::SHORT);
  Request.set_deadline_ms(10000);
  Request.set_payload(Payload);
  return Request;
}

auto submitAndGetOutcome(const std::string &Address,
                         const v1::SubmitRequest &Request)
    -> v1::RequestOutcome {
  auto Answer =
      HttpTestClient(Address).call("POST", "/v1/requests", renderJson(Request));
  EXPECT_EQ(Answer.Status, 200U) << Answer.Body.substr(0, 300);
  v1::RequestOutcome Outcome;
  auto Parsed = parseJson(Answer.Body, Outcome);
  EXPECT_TRUE(Parsed.has_value());
  return Outcome;
}

// Guards against answers that are truncated, re-encoded or confused with one
// another on the way from the worker to the caller.
TEST(RequestFlowTest, answerOfOneMebibyteArrivesUnchanged) {
  auto Cluster = TestCluster::start({});
  std::mt19937 Random(1);
  std::string Payload(1U << 20U, '\0');
  for (char &Byte : Payload)
    Byte = static_cast<char>(Random());
  Payload.front() = 'x';
  for (std::size_t Host = 0; Host < Cluster.entryHostCount(); ++Host) {
    for (bool Idempotent : {false, true}) {
      auto Outcome = submitAndGetOutcome(
          Cluster.entryAddress(Host),
          makeRequest("large-" + std::to_string(Host) + (Idempotent ? "i" : ""),
                      Idempotent, Payload));
      EXPECT_EQ(Outcome.outcome(), v1::ANSWERED) << Outcome.detail();
      EXPECT_TRUE(Outcome.answer() == Payload) << Outcome.answer().size();
    }
  }
}

// Guards against an answer that the worker's connection truncated, but that the
// caller receives as complete.
TEST(RequestFlowTest, truncatedAnswerIsNeverReportedAsAnswered) {
  TestCluster::Options ClusterOptions;
  ClusterOptions.Workers = 2;
  for (bool ChunkedAnswers : {false, true}) {
    auto Cluster = TestCluster::start(ClusterOptions);
    for (int Worker = 0; Worker < 2; ++Worker)
      Cluster.workers().control(
          std::string(R"({"cut_answers":1,"chunked_answers":)") +
              (ChunkedAnswers ? "true}" : "false}"),
          Worker);
    int RequestsThatReachedAWorker = 0;
    for (int Attempt = 0; Attempt < 6; ++Attempt) {
      bool Idempotent = Attempt % 2 == 1;
      auto Request = makeRequest("cut-" + std::to_string(Attempt), Idempotent,
                                 R"({"run_ms":1,"answer_bytes":20000})");
      // The worker stand-ins also truncate their status answers, so they soon
      // count as unreachable and requests wait until their deadline. A longer
      // one would only prolong the test.
      Request.set_deadline_ms(800);
      auto Outcome =
          submitAndGetOutcome(Cluster.entryAddress(Attempt / 2 % 2), Request);
      EXPECT_NE(Outcome.outcome(), v1::ANSWERED);
      EXPECT_NE(Outcome.outcome(), v1::FAILED);
      EXPECT_TRUE(Outcome.answer().empty());
      if (Outcome.attempts() == 0)
        continue;
      // A worker received the request, so NOT_RUN would be wrong too.
      ++RequestsThatReachedAWorker;
      EXPECT_EQ(Outcome.outcome(), v1::UNKNOWN)
          << v1::Reason_Name(Outcome.reason());
    }
    EXPECT_GE(RequestsThatReachedAWorker, 1) << "no request reached a worker";
  }
}

} // namespace
} // namespace jayramp
