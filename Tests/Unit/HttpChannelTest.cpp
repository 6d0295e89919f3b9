#include "Platform/HttpChannel.h"

#include "Base/Metrics.h"
#include "EndToEnd/StandIn.h"
#include "Platform/HttpCall.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cpprest/json.h>
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace jayramp {
namespace {

class HttpChannelTest : public testing::Test {
protected:
  auto post(const std::string &Address, bool FreshConnection,
            Milliseconds Timeout) -> HttpOutcome {
    return Channel->call({.Address = Address,
                          .Method = "POST",
                          .Path = "/v1/requests",
                          .Headers = {},
                          .Body = "payload",
                          .Timeout = Timeout,
                          .FreshConnection = FreshConnection});
  }

  Metrics Registry;
  std::unique_ptr<HttpChannel> Channel =
      HttpChannel::create("test", Registry).value();
};

// Guards against a POST that is sent twice on a fresh connection. Also shows
// why non-idempotent calls need one: a pooled client sends a POST again when
// its reused connection is closed without a response.
TEST_F(HttpChannelTest, onlyPooledConnectionsSendAPostTwice) {
  StandIn Worker = StandIn::startWorkers();
  for (bool FreshConnection : {false, true}) {
    Worker.control(R"({"reset_record":true,"lose_answers":0})");
    ASSERT_TRUE(std::holds_alternative<HttpResponseReceived>(
        post(Worker.address(), FreshConnection, Milliseconds(1000))));
    Worker.control(R"({"lose_answers":1})");
    EXPECT_TRUE(std::holds_alternative<HttpInterrupted>(
        post(Worker.address(), FreshConnection, Milliseconds(1000))));
    auto Executions = Worker.record().at("executions").size();
    if (FreshConnection)
      EXPECT_EQ(Executions, 2U);
    else
      EXPECT_GT(Executions, 2U);
  }
}

// Guards against a destructor that returns while a callback still runs: the
// callback would use objects that the owner of the channel has destroyed.
TEST_F(HttpChannelTest, destructorWaitsForARunningCallback) {
  StandIn Worker = StandIn::startWorkers();
  auto Entered = std::make_shared<std::promise<void>>();
  auto Returned = std::make_shared<std::atomic<bool>>(false);
  Channel->send({.Address = Worker.address(),
                 .Method = "POST",
                 .Path = "/v1/requests",
                 .Headers = {},
                 .Body = "payload",
                 .Timeout = Milliseconds(1000),
                 .FreshConnection = true},
                [Entered, Returned](const HttpOutcome &) {
                  Entered->set_value();
                  std::this_thread::sleep_for(Milliseconds(200));
                  *Returned = true;
                });
  Entered->get_future().get();
  Channel.reset();
  EXPECT_TRUE(*Returned);
}

// Guards against a response that arrives after the timeout and is not counted
// as late.
TEST_F(HttpChannelTest, countsALateResponse) {
  StandIn Worker = StandIn::startWorkers();
  Worker.control(R"({"delay_ms":300})");
  auto Outcome = post(Worker.address(), true, Milliseconds(100));
  const auto *Interrupted = std::get_if<HttpInterrupted>(&Outcome);
  ASSERT_TRUE(Interrupted);
  EXPECT_TRUE(Interrupted->TimedOut);
  std::this_thread::sleep_for(Milliseconds(500));
  EXPECT_EQ(Registry.counter("http_late_answers_total", "channel=\"test\""),
            1U);
  EXPECT_EQ(Registry.counter("http_timeouts_total", "channel=\"test\""), 1U);
}

// Guards against a request that is reported as not sent although it may have
// been: the client sends it on a reused connection, which fails, and then fails
// to open a new one.
TEST_F(HttpChannelTest, failureOnAReusedConnectionIsNotReportedAsNotSent) {
  StandIn Worker = StandIn::startWorkers();
  ASSERT_TRUE(std::holds_alternative<HttpResponseReceived>(
      post(Worker.address(), false, Milliseconds(1000))));
  std::string Address = Worker.address();
  Worker.process().kill();
  EXPECT_TRUE(std::holds_alternative<HttpInterrupted>(
      post(Address, false, Milliseconds(1000))));
  EXPECT_TRUE(std::holds_alternative<HttpNotSent>(
      post(Address, false, Milliseconds(1000))));
}

// Guards against a connect without a reply that is reported as an unknown
// outcome although nothing was sent.
TEST_F(HttpChannelTest, unansweredConnectIsReportedAsNotSent) {
  namespace asio = boost::asio;
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(Context);
  Acceptor.open(asio::ip::tcp::v4());
  Acceptor.bind({asio::ip::address_v4::loopback(), 0});
  Acceptor.listen(0);
  // With a full backlog the kernel ignores further connects.
  std::vector<asio::ip::tcp::socket> BacklogSockets;
  for (int Index = 0; Index < 3; ++Index) {
    BacklogSockets.emplace_back(Context, asio::ip::tcp::v4());
    BacklogSockets.back().native_non_blocking(true);
    auto Endpoint = Acceptor.local_endpoint();
    // Once the backlog is full, the connect stays in progress.
    static_cast<void>(::connect(BacklogSockets.back().native_handle(),
                                Endpoint.data(), Endpoint.size()));
  }
  std::this_thread::sleep_for(Milliseconds(50));
  std::string Address =
      "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  auto Outcome = post(Address, true, Milliseconds(6000));
  EXPECT_TRUE(std::holds_alternative<HttpNotSent>(Outcome));
}

} // namespace
} // namespace jayramp
