#include "Net/HttpClient.h"
#include "Net/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <future>
#include <optional>
#include <string_view>
#include <thread>

namespace jayramp::net {
namespace {

/// Keeps the event loop busy, as a long computation does.
auto block(Milliseconds Duration) -> void {
  std::this_thread::sleep_for(Duration);
}

/// A server on a thread of its own that accepts one connection and answers one
/// request, or never answers.
class SingleAnswerServer {
public:
  explicit SingleAnswerServer(bool Responds)
      : Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0}),
        Thread([this, Responds] { serve(Responds); }) {}
  ~SingleAnswerServer() {
    Finish.set_value();
    Thread.join();
  }

  auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  auto serve(bool Responds) -> void {
    auto Socket = Acceptor.accept();
    boost::asio::streambuf Request;
    boost::asio::read_until(Socket, Request, "\r\n\r\n");
    if (Responds)
      boost::asio::write(
          Socket, boost::asio::buffer(std::string_view(
                      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
    Finish.get_future().wait();
  }

  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::promise<void> Finish;
  std::thread Thread;
};

class HttpClientTest : public testing::Test {
protected:
  HttpClientTest() : Client(Loop) {}

  /// Calls the server; the loop stops with the outcome of the call.
  auto call(const SingleAnswerServer &Server, Milliseconds Timeout) -> void {
    Client.call(Server.address(), {"GET", "/", {}, {}}, Timeout,
                [this](Result<HttpResponse> Outcome) {
                  Answered = bool(Outcome);
                  Loop.stop();
                });
  }

  EventLoop Loop;
  HttpClient Client;
  std::optional<bool> Answered;
};

// Guards against a caller that is late itself and takes its peers for dead: the
// answer was there, but was not read before the time limit was checked.
TEST_F(HttpClientTest, acceptsAnAnswerThatItReadsLate) {
  SingleAnswerServer Server(true);
  call(Server, Milliseconds(50));
  std::vector<EventLoop::TimerHandle> Timers;
  for (int Turn = 0; Turn < 4; ++Turn)
    Timers.push_back(
        Loop.after(Milliseconds(Turn), [] { block(Milliseconds(60)); }));
  Loop.run();
  EXPECT_EQ(Answered, true);
  EXPECT_GE(Loop.totalLag(), Milliseconds(60));
}

// Guards against waiting without end for a peer that does not answer.
TEST_F(HttpClientTest, endsACallWithoutAnswerDespiteTheLag) {
  SingleAnswerServer Server(false);
  const auto Begin = Clock::now();
  call(Server, Milliseconds(50));
  std::function<void()> KeepBusy;
  std::vector<EventLoop::TimerHandle> Timers;
  KeepBusy = [&] {
    block(Milliseconds(30));
    Timers.push_back(Loop.after(Milliseconds(1), KeepBusy));
  };
  KeepBusy();
  Loop.run();
  EXPECT_EQ(Answered, false);
  EXPECT_LT(Clock::now() - Begin, Milliseconds(1000));
}

TEST_F(HttpClientTest, keepsTheTimeLimitWhileTheLoopIsNotBusy) {
  SingleAnswerServer Server(false);
  const auto Begin = Clock::now();
  call(Server, Milliseconds(50));
  Loop.run();
  EXPECT_EQ(Answered, false);
  EXPECT_LT(Clock::now() - Begin, Milliseconds(150));
}

} // namespace
} // namespace jayramp::net
