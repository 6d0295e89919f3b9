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
  auto post(const std::string &Address, bool Fresh, Milliseconds Timeout)
      -> HttpOutcome {
    return Channel->call({.Address = Address,
                          .Method = "POST",
                          .Path = "/v1/requests",
                          .Headers = {},
                          .Body = "payload",
                          .Timeout = Timeout,
                          .FreshConnection = Fresh});
  }

  Metrics Registry;
  std::unique_ptr<HttpChannel> Channel =
      HttpChannel::create("test", Registry).value();
};

// Shows why non-idempotent calls need connections of their own: a pooled client
// sends a POST again when its old connection is closed without an answer.
TEST_F(HttpChannelTest, pooledClientRepeatsAPostAndAFreshOneDoesNot) {
  StandIn Worker = StandIn::startWorkers();
  for (bool Fresh : {false, true}) {
    Worker.control(R"({"reset_record":true,"lose_answers":0})");
    ASSERT_TRUE(std::holds_alternative<HttpAnswer>(
        post(Worker.address(), Fresh, Milliseconds(1000))));
    Worker.control(R"({"lose_answers":1})");
    EXPECT_TRUE(std::holds_alternative<HttpBroken>(
        post(Worker.address(), Fresh, Milliseconds(1000))));
    auto Executions = Worker.record().at("executions").size();
    if (Fresh)
      EXPECT_EQ(Executions, 2U);
    else
      EXPECT_GT(Executions, 2U);
  }
}

// Guards against a callback that still runs when its channel has ended, and
// uses what its owner has destroyed by then.
TEST_F(HttpChannelTest, endsOnlyAfterACallbackThatRuns) {
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

// Guards against a late answer that ends the call a second time.
TEST_F(HttpChannelTest, countsALateAnswer) {
  StandIn Worker = StandIn::startWorkers();
  Worker.control(R"({"delay_ms":300})");
  auto Outcome = post(Worker.address(), true, Milliseconds(100));
  const auto *Broken = std::get_if<HttpBroken>(&Outcome);
  ASSERT_TRUE(Broken);
  EXPECT_TRUE(Broken->TimedOut);
  std::this_thread::sleep_for(Milliseconds(500));
  EXPECT_EQ(Registry.counter("http_late_answers_total", "channel=\"test\""),
            1U);
  EXPECT_EQ(Registry.counter("http_timeouts_total", "channel=\"test\""), 1U);
}

// Guards against a request on an old connection that is reported as not sent
// because the client then failed to connect again.
TEST_F(HttpChannelTest, neverReportsNotSentAfterUseOfAnOldConnection) {
  StandIn Worker = StandIn::startWorkers();
  ASSERT_TRUE(std::holds_alternative<HttpAnswer>(
      post(Worker.address(), false, Milliseconds(1000))));
  std::string Address = Worker.address();
  Worker.process().kill();
  EXPECT_TRUE(std::holds_alternative<HttpBroken>(
      post(Address, false, Milliseconds(1000))));
  EXPECT_TRUE(std::holds_alternative<HttpNotSent>(
      post(Address, false, Milliseconds(1000))));
}

// Guards against a connect without an answer that is reported as an unknown
// effect although nothing can have been sent.
TEST_F(HttpChannelTest, unansweredConnectIsNotSent) {
  namespace asio = boost::asio;
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(Context);
  Acceptor.open(asio::ip::tcp::v4());
  Acceptor.bind({asio::ip::address_v4::loopback(), 0});
  Acceptor.listen(0);
  // A full backlog makes the kernel ignore further connects.
  std::vector<asio::ip::tcp::socket> Fillers;
  for (int Index = 0; Index < 3; ++Index) {
    Fillers.emplace_back(Context, asio::ip::tcp::v4());
    Fillers.back().native_non_blocking(true);
    auto Endpoint = Acceptor.local_endpoint();
    // It does not complete once the backlog is full.
    static_cast<void>(::connect(Fillers.back().native_handle(), Endpoint.data(),
                                Endpoint.size()));
  }
  std::this_thread::sleep_for(Milliseconds(50));
  std::string Address =
      "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  auto Outcome = post(Address, true, Milliseconds(6000));
  EXPECT_TRUE(std::holds_alternative<HttpNotSent>(Outcome));
}

} // namespace
} // namespace jayramp
