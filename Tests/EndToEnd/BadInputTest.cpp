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
  static auto options() -> TestCluster::Options {
    TestCluster::Options Wanted;
    Wanted.Settings["api.maximum_body_kib"] = "64";
    return Wanted;
  }

  /// Sends \p Body and expects a refusal that names \p Field.
  auto expectRefused(const std::string &Method, const std::string &Path,
                     const std::string &Body, const std::string &Field)
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
    EXPECT_NE(Reply.field().find(Field), std::string::npos) << Answer.Body;
    EXPECT_FALSE(Reply.detail().empty());
    EXPECT_FALSE(Reply.remedy().empty());
  }

  /// Version and document. Which hosts confirmed the version may still change.
  auto configuration() -> std::string {
    auto Report =
        web::json::value::parse(HttpTestClient(Cluster.entryAddress(0))
                                    .call("GET", "/v1/configuration")
                                    .Body);
    return Report.at("version").serialize() + Report.at("document").serialize();
  }

  auto executions() -> std::size_t {
    std::size_t Sum = 0;
    for (int Worker = 0; Worker < 4; ++Worker)
      Sum += Cluster.workers().record(Worker).at("executions").size();
    return Sum;
  }

  TestCluster Cluster = TestCluster::start(options());
};

// Guards against requests that run although they were not understood, and
// against refusals that do not say what to change.
TEST_F(BadInputTest, badRequestsAreRefusedAndNotRun) {
  auto Post = [&](const std::string &Body, const std::string &Field) {
    expectRefused("POST", "/v1/requests", Body, Field);
  };
  Post("", "");
  Post("{", "");
  Post("[]", "");
  Post("null", "");
  Post(R"({"account":"alpha","key":"k","deadline_ms":100,"colour":1})",
       "colour");
  Post(R"({"account":"alpha","key":"k","deadline_ms":"soon"})", "deadline_ms");
  Post(R"({"account":"alpha","key":"k","deadline_ms":-1})", "deadline_ms");
  Post(R"({"account":"alpha","key":"k","deadline_ms":0})", "deadline_ms");
  Post(R"({"account":"alpha","key":"k","deadline_ms":600001})", "deadline_ms");
  Post(R"({"account":"alpha","key":"k","deadline_ms":100,"idempotent":"yes"})",
       "idempotent");
  Post(R"({"account":"alpha","key":"k","deadline_ms":100,"work_class":"TINY"})",
       "work_class");
  Post(R"({"account":"alpha","key":"k","deadline_ms":100,"work_class":99})",
       "work_class");
  Post(R"({"account":"alpha","key":"k","deadline_ms":100,"payload":"%%%"})",
       "payload");
  Post(R"({"account":"alpha","deadline_ms":100})", "key");
  Post(R"({"account":"alpha","key":"a b","deadline_ms":100})", "key");
  Post(R"({"account":"alpha","key":")" + std::string(129, 'k') +
           R"(","deadline_ms":100})",
       "key");
  Post(R"({"key":"k","deadline_ms":100})", "account");
  Post(R"({"account":"nobody","key":"k","deadline_ms":100})", "account");
  Post(std::string(100U << 10U, ' '), "body");
  EXPECT_EQ(executions(), 0U);
}

// Guards against a large body that ends the connection before its sender can
// read why it was refused.
TEST_F(BadInputTest, largeBodyIsRefusedReadably) {
  expectRefused("POST", "/v1/requests", std::string(8U << 20U, ' '), "body");
  EXPECT_EQ(executions(), 0U);
}

// Guards against a refused change that takes effect in part.
TEST_F(BadInputTest, badChangesLeaveTheConfigurationAsItWas) {
  std::string Before = configuration();
  auto Account = [&](const std::string &Fields, const std::string &Field) {
    expectRefused("PUT", "/v1/accounts/gamma",
                  R"({"account":{"name":"gamma",)" + Fields + "}}", Field);
  };
  Account(R"("request_share":1,"guarantees":[{"accelerators":-8,"count":1}])",
          "accelerators");
  Account(R"("request_share":1,"guarantees":[{"accelerators":8,"count":-1}])",
          "count");
  Account(R"("request_share":1,"guarantees":[{"accelerators":65,"count":1}])",
          "accelerators");
  Account(R"("request_share":1,"guarantees":[{"accelerators":0,"count":1}])",
          "accelerators");
  Account(R"("request_share":0)", "request_share");
  Account(R"("request_share":1001)", "request_share");
  Account(R"("request_share":1,"colour":"blue")", "colour");
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
  EXPECT_EQ(configuration(), Before);
}

/// Connections that sent part of a request and stay open.
class HalfSentRequests {
public:
  HalfSentRequests(const std::string &Address, int Count) {
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

// Guards against slow or dead callers that keep all others out: by a thread for
// each, or by the soft limit of descriptors with which a daemon is started.
TEST(HalfSentRequestsTest, doNotStopWholeOnes) {
  rlimit Limit{};
  ::getrlimit(RLIMIT_NOFILE, &Limit);
  rlimit Lowered = Limit;
  Lowered.rlim_cur = 512;
  ::setrlimit(RLIMIT_NOFILE, &Lowered);
  auto Cluster = TestCluster::start({});
  Limit.rlim_cur = Limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &Limit);
  HalfSentRequests Open(Cluster.entryAddress(0), 1000);
  for (int Index = 0; Index < 100; ++Index) {
    v1::SubmitRequest Request;
    Request.set_account("alpha");
    Request.set_key("whole-" + std::to_string(Index));
    Request.set_idempotent(Index % 2 == 0);
    Request.set_deadline_ms(5000);
    Request.set_payload("payload");
    // A new connection each time, as whole requests of other callers make.
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
