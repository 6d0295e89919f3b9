#include "EndToEnd/HttpTestClient.h"
#include "EndToEnd/TestCluster.h"
#include "Schema/JsonMapping.h"

#include "jayramp/v1/jayramp.pb.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cpprest/json.h>
#include <gtest/gtest.h>

#include <string>
#include <sys/resource.h>
#include <vector>

namespace jayramp {
namespace {

class BadInputTest : public testing::Test {
protected:
  static auto clusterOptions() -> TestCluster::Options {
    TestCluster::Options ClusterOptions;
    ClusterOptions.Settings["api.maximum_body_kib"] = "64";
    return ClusterOptions;
  }

  /// Sends \p Body and expects an HTTP status 4xx and an error reply with kind,
  /// detail and remedy whose field contains \p ExpectedField.
  auto expectRefused(const std::string &Method, const std::string &Path,
                     const std::string &Body, const std::string &ExpectedField)
      -> void {
    SCOPED_TRACE(Method + " " + Path + " " + Body.substr(0, 120));
    HttpTestClient::Response Answer;
    try {
      Answer = HttpTestClient(Cluster.entryAddress(0)).call(Method, Path, Body);
    } catch (const std::exception &Failure) {
      ADD_FAILURE() << Failure.what();
      return;
    }
    EXPECT_GE(Answer.Status, 400U) << Answer.Body;
    EXPECT_LT(Answer.Status, 500U) << Answer.Body;
    v1::ErrorReply Reply;
    ASSERT_TRUE(parseJson(Answer.Body, Reply).has_value()) << Answer.Body;
    EXPECT_FALSE(Reply.kind().empty());
    EXPECT_NE(Reply.field().find(ExpectedField), std::string::npos)
        << Answer.Body;
    EXPECT_FALSE(Reply.detail().empty());
    EXPECT_FALSE(Reply.remedy().empty());
  }

  /// Returns version and document of the configuration as one text. The list of
  /// hosts that confirmed the version is left out, since it may still change.
  auto currentConfiguration() -> std::string {
    auto Report =
        web::json::value::parse(HttpTestClient(Cluster.entryAddress(0))
                                    .call("GET", "/v1/configuration")
                                    .Body);
    return Report.at("version").serialize() + Report.at("document").serialize();
  }

  /// Returns the number of request executions that all workers recorded.
  auto executionCount() -> std::size_t {
    std::size_t Count = 0;
    for (int Worker = 0; Worker < 4; ++Worker)
      Count += Cluster.workers().record(Worker).at("executions").size();
    return Count;
  }

  TestCluster Cluster = TestCluster::start(clusterOptions());
};

// Guards against invalid requests that run anyway, and against error replies
// that do not name the faulty field and its remedy.
TEST_F(BadInputTest, invalidRequestsAreRefusedAndNotRun) {
  auto ExpectRequestRefused = [&](const std::string &Body,
                                  const std::string &ExpectedField) {
    expectRefused("POST", "/v1/requests", Body, ExpectedField);
  };
  ExpectRequestRefused("", "");
  ExpectRequestRefused("{", "");
  ExpectRequestRefused("[]", "");
  ExpectRequestRefused("null", "");
  ExpectRequestRefused(
      R"({"account":"alpha","key":"k","deadline_ms":100,"colour":1})",
      "colour");
  ExpectRequestRefused(R"({"account":"alpha","key":"k","deadline_ms":"soon"})",
                       "deadline_ms");
  ExpectRequestRefused(R"({"account":"alpha","key":"k","deadline_ms":-1})",
                       "deadline_ms");
  ExpectRequestRefused(R"({"account":"alpha","key":"k","deadline_ms":0})",
                       "deadline_ms");
  ExpectRequestRefused(R"({"account":"alpha","key":"k","deadline_ms":600001})",
                       "deadline_ms");
  ExpectRequestRefused(
      R"({"account":"alpha","key":"k","deadline_ms":100,"idempotent":"yes"})",
      "idempotent");
  ExpectRequestRefused(
      R"({"account":"alpha","key":"k","deadline_ms":100,"work_class":"TINY"})",
      "work_class");
  ExpectRequestRefused(
      R"({"account":"alpha","key":"k","deadline_ms":100,"work_class":99})",
      "work_class");
  ExpectRequestRefused(
      R"({"account":"alpha","key":"k","deadline_ms":100,"payload":"%%%"})",
      "payload");
  ExpectRequestRefused(R"({"account":"alpha","deadline_ms":100})", "key");
  ExpectRequestRefused(R"({"account":"alpha","key":"a b","deadline_ms":100})",
                       "key");
  ExpectRequestRefused(R"({"account":"alpha","key":")" + std::string(129, 'k') +
                           R"(","deadline_ms":100})",
                       "key");
  ExpectRequestRefused(R"({"key":"k","deadline_ms":100})", "account");
  ExpectRequestRefused(R"({"account":"nobody","key":"k","deadline_ms":100})",
                       "account");
  ExpectRequestRefused(std::string(100U << 10U, ' '), "body");
  EXPECT_EQ(executionCount(), 0U);
}

// Guards against a host that closes the connection while an oversized body is
// still being sent, so that the client cannot read the error reply.
TEST_F(BadInputTest, oversizedBodyGetsACompleteErrorReply) {
  expectRefused("POST", "/v1/requests", std::string(8U << 20U, ' '), "body");
  EXPECT_EQ(executionCount(), 0U);
}

// Guards against a refused configuration change that is partly applied.
TEST_F(BadInputTest, refusedChangesLeaveTheConfigurationUnchanged) {
  std::string ConfigurationBefore = currentConfiguration();
  auto ExpectAccountRefused = [&](const std::string &Fields,
                                  const std::string &ExpectedField) {
    expectRefused("PUT", "/v1/accounts/gamma",
                  R"({"account":{"name":"gamma",)" + Fields + "}}",
                  ExpectedField);
  };
  ExpectAccountRefused(
      R"("request_share":1,"guarantees":[{"accelerators":-8,"count":1}])",
      "accelerators");
  ExpectAccountRefused(
      R"("request_share":1,"guarantees":[{"accelerators":8,"count":-1}])",
      "count");
  ExpectAccountRefused(
      R"("request_share":1,"guarantees":[{"accelerators":65,"count":1}])",
      "accelerators");
  ExpectAccountRefused(
      R"("request_share":1,"guarantees":[{"accelerators":0,"count":1}])",
      "accelerators");
  ExpectAccountRefused(R"("request_share":0)", "request_share");
  ExpectAccountRefused(R"("request_share":1001)", "request_share");
  ExpectAccountRefused(R"("request_share":1,"colour":"blue")", "colour");
  expectRefused("PUT", "/v1/accounts/gamma", "{", "");
  expectRefused("PUT", "/v1/accounts/gamma",
                R"({"account":{"name":"delta","request_share":1}})", "name");
  expectRefused("DELETE", "/v1/accounts/nobody", "", "");
  expectRefused("PUT", "/v1/configuration",
                R"({"expected_version":"1","document":{"colour":1}})",
                "colour");
  expectRefused("PUT", "/v1/configuration",
                R"({"expected_version":"77","document":{}})", "");
  expectRefused("GET", "/v1/no-such-path", "", "path");
  EXPECT_EQ(currentConfiguration(), ConfigurationBefore);
}

/// Holds connections open that sent only part of an HTTP request: odd ones an
/// unfinished header, even ones an unfinished body.
class IncompleteRequests {
public:
  IncompleteRequests(const std::string &Address, int Count) {
    auto Colon = Address.rfind(':');
    boost::asio::ip::tcp::endpoint Endpoint(
        boost::asio::ip::make_address(Address.substr(0, Colon)),
        static_cast<unsigned short>(std::stoi(Address.substr(Colon + 1))));
    for (int Index = 0; Index < Count; ++Index) {
      Sockets.emplace_back(Context);
      Sockets.back().connect(Endpoint);
      std::string Text = "POST /v1/requests HTTP/1.1\r\nHost: x\r\n";
      if (Index % 2 == 0)
        Text += "Content-Length: 1000\r\n\r\n{\"account\":";
      boost::asio::write(Sockets.back(), boost::asio::buffer(Text));
    }
  }

private:
  boost::asio::io_context Context;
  std::vector<boost::asio::ip::tcp::socket> Sockets;
};

// Guards against slow or dead clients that block all others, either because
// each connection occupies a thread or because the daemon keeps the soft limit
// of file descriptors with which it was started.
TEST(IncompleteRequestsTest, doNotBlockCompleteRequests) {
  rlimit DescriptorLimit{};
  ::getrlimit(RLIMIT_NOFILE, &DescriptorLimit);
  rlimit LoweredLimit = DescriptorLimit;
  LoweredLimit.rlim_cur = 512;
  ::setrlimit(RLIMIT_NOFILE, &LoweredLimit);
  auto Cluster = TestCluster::start({});
  // This process needs more descriptors than the daemon inherited.
  DescriptorLimit.rlim_cur = DescriptorLimit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &DescriptorLimit);
  IncompleteRequests Incomplete(Cluster.entryAddress(0), 1000);
  for (int Index = 0; Index < 100; ++Index) {
    v1::SubmitRequest Request;
    Request.set_account("alpha");
    Request.set_key("whole-" + std::to_string(Index));
    Request.set_idempotent(Index % 2 == 0);
    Request.set_deadline_ms(5000);
    Request.set_payload("payload");
    // Each request opens a connection of its own, as independent clients do.
    auto Answer = HttpTestClient(Cluster.entryAddress(0))
                      .call("POST", "/v1/requests", renderJson(Request),
                            std::chrono::seconds(10));
    ASSERT_EQ(Answer.Status, 200U) << Answer.Body;
    v1::RequestOutcome Outcome;
    ASSERT_TRUE(parseJson(Answer.Body, Outcome).has_value());
    EXPECT_EQ(Outcome.outcome(), v1::ANSWERED) << Outcome.detail();
  }
}

} // namespace
} // namespace jayramp
