#include "Net/HttpClient.h"
#include "LoopbackProcess.h"
#include "Net/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
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

/// A server on a thread of its own that answers one request with \p Opening and
/// then \p Filler without end, until the client closes the connection or has
/// taken MaxBytes.
class EndlessAnswerServer {
public:
  static constexpr std::size_t MaxBytes = 64U << 20U;

  EndlessAnswerServer(std::string Opening, std::string Filler)
      : Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0}),
        Thread([this, Opening = std::move(Opening),
                Filler = std::move(Filler)] { serve(Opening, Filler); }) {}

  auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  /// Waits for the end and returns the bytes that the client has taken.
  auto takenBytes() -> std::size_t {
    Thread.join();
    return Sent;
  }

private:
  auto serve(const std::string &Opening, const std::string &Filler) -> void {
    auto Socket = Acceptor.accept();
    boost::asio::streambuf Request;
    boost::asio::read_until(Socket, Request, "\r\n\r\n");
    std::string Block;
    while (Block.size() < 65536)
      Block += Filler;
    boost::system::error_code Failure;
    Sent = boost::asio::write(Socket, boost::asio::buffer(Opening), Failure);
    while (!Failure && Sent < MaxBytes)
      Sent += boost::asio::write(Socket, boost::asio::buffer(Block), Failure);
  }

  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::size_t Sent = 0;
  std::thread Thread;
};

class HttpClientTest : public testing::Test {
protected:
  HttpClientTest() : Client(Loop) {}

  /// Calls the server; the loop stops with the outcome of the call.
  template <typename Server>
  auto call(const Server &Called, Milliseconds Timeout) -> void {
    Client.call(Called.address(), {"GET", "/", {}, {}}, Timeout,
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

// Guards against a peer, worker or store whose answer has no end and grows the
// process. The bound leaves room for the buffers of both sockets.
TEST_F(HttpClientTest, stopsReadingAnAnswerWithoutEnd) {
  const std::string Start = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Start + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> Answers{
      {Start, "X-Line: value\r\n"},
      {Chunked + "1\r\nx\r\n0\r\n", "X-Trailer: value\r\n"},
      {Chunked + "1;x=", "e"},
      {Chunked, "1\r\nx\r\n"},
      {Chunked, "400\r\n" + std::string(0x400, 'x') + "\r\n"},
      {Start + "\r\n", "body to the end of the connection"}};
  for (const auto &[Opening, Filler] : Answers) {
    EndlessAnswerServer Server(Opening, Filler);
    call(Server, Milliseconds(60000));
    Loop.run();
    Loop.context().restart();
    Loop.context().poll(); // Ends what the call left.
    Loop.context().restart();
    EXPECT_EQ(Answered, false);
    EXPECT_LT(Server.takenBytes(), EndlessAnswerServer::MaxBytes / 2)
        << Opening << Filler.substr(0, 20);
  }
}

/// Processes that identify themselves by a number in each response.
class PeerBindingTest : public testing::Test {
protected:
  struct Process {
    unsigned Requests = 0;
    std::unique_ptr<test::LoopbackProcess> Listening;
  };

  explicit PeerBindingTest(const HttpClient::Limits &Limits = {})
      : Client(Loop, Limits) {}

  /// Lets a process that answers with \p Number listen on \p Port, in place of
  /// the one that listens there.
  auto listen(std::unique_ptr<Process> &Place, const test::LoopbackPort &Port,
              std::int64_t Number) -> void {
    Place.reset();
    Place = std::make_unique<Process>();
    Place->Listening = std::make_unique<test::LoopbackProcess>(
        Loop, Port,
        [Requests = &Place->Requests, Number](const auto &, const auto &) {
          ++*Requests;
          return test::LoopbackProcess::Answer{
              {200, {}, std::to_string(Number)}};
        });
  }
  auto listen(std::int64_t Number) -> void { listen(Server, Port, Number); }

  static auto identifying() -> PeerBinding {
    return {0, [](const HttpResponse &Response) {
              return std::strtoll(Response.Body.c_str(), nullptr, 10);
            }};
  }
  static auto requiring(std::int64_t Number) -> PeerBinding {
    return {Number, nullptr};
  }

  auto send(const std::string &Address, PeerBinding Binding) -> void {
    ++CallsMade;
    Client.call(
        Address, {"GET", "/", {}, {}}, Timeout,
        [this](Result<HttpResponse> Outcome) {
          Outcomes.push_back(
              Outcome ? Outcome.value().Body
                      : std::string(toString(Outcome.error().kind())));
        },
        std::move(Binding));
  }
  /// Runs the loop until all calls have ended.
  auto awaitAll() -> void {
    const auto Limit = Clock::now() + Milliseconds(10000);
    while (Outcomes.size() < CallsMade && Clock::now() < Limit) {
      Loop.context().restart();
      Loop.context().run_one_for(Milliseconds(10));
    }
  }
  /// Runs the loop for a while, in which nothing is expected.
  auto runFor(Milliseconds Duration) -> void {
    Loop.context().restart();
    Loop.context().run_for(Duration);
  }
  /// Returns the body of the response to a call, or the kind of its error.
  auto call(const std::string &Address, PeerBinding Binding) -> std::string {
    send(Address, std::move(Binding));
    awaitAll();
    return Outcomes.empty() ? "no outcome" : Outcomes.back();
  }
  auto call(PeerBinding Binding) -> std::string {
    return call(Port.address(), std::move(Binding));
  }

  EventLoop Loop;
  HttpClient Client;
  test::LoopbackPort Port;
  std::unique_ptr<Process> Server;
  Milliseconds Timeout{2000};
  std::size_t CallsMade = 0;
  std::vector<std::string> Outcomes; ///< Of the calls that have ended.
};

const std::string Unavailable(toString(ErrorKind::Unavailable));

// Guards against a request for one process that goes out on a connection that
// may lead to another one: a new one, one to a process that is not known, or
// one to another process.
TEST_F(PeerBindingTest, sendsNothingWithoutAConnectionToTheProcess) {
  listen(5);
  EXPECT_EQ(call(requiring(7)), Unavailable);
  EXPECT_EQ(Server->Listening->acceptedConnections(), 0U);
  EXPECT_EQ(call({}), "5");
  EXPECT_EQ(call(requiring(7)), Unavailable);
  EXPECT_EQ(call(identifying()), "5");
  EXPECT_EQ(call(requiring(7)), Unavailable);
  runFor(Milliseconds(20));
  EXPECT_EQ(Server->Requests, 2U);
  EXPECT_EQ(Server->Listening->acceptedConnections(), 1U);
}

// Guards against a query before each request, though the process on the
// connection is known.
TEST_F(PeerBindingTest, reusesTheConnectionOfAProcessThatIdentifiedItself) {
  listen(5);
  EXPECT_FALSE(Client.isConnectedTo(Port.address(), 5));
  EXPECT_EQ(call(identifying()), "5");
  EXPECT_TRUE(Client.isConnectedTo(Port.address(), 5));
  EXPECT_EQ(call(requiring(5)), "5");
  EXPECT_EQ(call(requiring(5)), "5");
  EXPECT_EQ(Server->Requests, 3U);
  EXPECT_EQ(Server->Listening->acceptedConnections(), 1U);
}

// Guards against a connection that is taken for idle while a request is on it.
TEST_F(PeerBindingTest, countsNoConnectionInUseAsAConnectionToItsProcess) {
  listen(5);
  EXPECT_EQ(call(identifying()), "5");
  send(Port.address(), requiring(5));
  EXPECT_FALSE(Client.isConnectedTo(Port.address(), 5));
  send(Port.address(), requiring(5));
  awaitAll();
  EXPECT_EQ(Outcomes, (std::vector<std::string>{"5", Unavailable, "5"}));
}

// Guards against a query for the process that listens now, sent on a connection
// to its predecessor.
TEST_F(PeerBindingTest, identifiesOnlyConnectionsWhoseProcessIsUnknown) {
  listen(5);
  EXPECT_EQ(call(identifying()), "5");
  EXPECT_EQ(call(identifying()), "5");
  EXPECT_EQ(Server->Listening->acceptedConnections(), 2U);
  listen(6);
  EXPECT_EQ(call(identifying()), "6");
  EXPECT_EQ(Server->Requests, 1U);
}

TEST_F(PeerBindingTest, identifiesAConnectionOfAnEarlierCall) {
  listen(5);
  EXPECT_EQ(call({}), "5");
  EXPECT_FALSE(Client.isConnectedTo(Port.address(), 5));
  EXPECT_EQ(call(identifying()), "5");
  EXPECT_EQ(call(requiring(5)), "5");
  EXPECT_EQ(Server->Listening->acceptedConnections(), 1U);
}

// Guards against an order that was computed for a process and is carried out by
// the next one on the same port.
TEST_F(PeerBindingTest, keepsRequestsForAProcessFromItsSuccessor) {
  listen(5);
  send(Port.address(), identifying());
  send(Port.address(), identifying());
  awaitAll();
  listen(6);
  for (int Attempt = 0; Attempt < 4; ++Attempt) {
    send(Port.address(), requiring(5));
    send(Port.address(), requiring(5));
    awaitAll();
    EXPECT_NE(Outcomes.back(), "6");
  }
  EXPECT_EQ(Server->Requests, 0U);
  EXPECT_EQ(call(identifying()), "6");
  EXPECT_EQ(call(requiring(5)), Unavailable);
  EXPECT_EQ(call(requiring(6)), "6");
  EXPECT_EQ(Server->Requests, 2U);
}

// Guards against callers that are called back before their call returns, or
// more than once.
TEST_F(PeerBindingTest, reportsAnAbsentProcessOnceAndAfterTheCall) {
  listen(5);
  Timeout = Milliseconds(50);
  send(Port.address(), requiring(7));
  EXPECT_EQ(Outcomes.size(), 0U);
  awaitAll();
  EXPECT_EQ(Outcomes, std::vector<std::string>{Unavailable});
  runFor(Timeout * 2);
  EXPECT_EQ(Outcomes.size(), 1U);
}

// Guards against a process that restarted and never gets an order: the pool was
// full of connections to its predecessor, and each on which the new process
// identified itself was closed instead of kept.
TEST_F(PeerBindingTest, keepsAConnectionToASuccessorBesideThoseToItsFormer) {
  listen(5);
  for (int Each = 0; Each < 8; ++Each)
    send(Port.address(), identifying());
  awaitAll();
  listen(6);
  EXPECT_EQ(call(identifying()), "6");
  EXPECT_TRUE(Client.isConnectedTo(Port.address(), 6));
  EXPECT_EQ(call(requiring(6)), "6");
  EXPECT_EQ(Server->Listening->acceptedConnections(), 1U);
}

// Guards against the same for an address that cannot be called.
TEST_F(PeerBindingTest, reportsAMalformedAddressAfterTheCall) {
  send("worker-1", {});
  EXPECT_EQ(Outcomes.size(), 0U);
  awaitAll();
  EXPECT_EQ(Outcomes, std::vector<std::string>{Unavailable});
}

/// A client that may keep few idle connections in total.
class SmallPoolTest : public PeerBindingTest {
protected:
  static constexpr std::size_t MaxIdle = 3;

  static auto limits() -> HttpClient::Limits {
    HttpClient::Limits Limits;
    Limits.MaxConnections = MaxIdle * 2;
    return Limits;
  }
  SmallPoolTest() : PeerBindingTest(limits()) {}
};

// Guards against processes that never get an order because the idle connections
// to other processes fill the pool.
TEST_F(SmallPoolTest, keepsAConnectionOnWhichAProcessHasJustIdentifiedItself) {
  std::vector<test::LoopbackPort> Ports(2 * MaxIdle);
  std::vector<std::unique_ptr<Process>> Servers(Ports.size());
  for (std::size_t Each = 0; Each < Ports.size(); ++Each)
    listen(Servers[Each], Ports[Each], 5 + static_cast<std::int64_t>(Each));
  for (int Round = 0; Round < 2; ++Round)
    for (std::size_t Each = 0; Each < Ports.size(); ++Each) {
      const auto Number = 5 + static_cast<std::int64_t>(Each);
      call(Ports[Each].address(), identifying());
      EXPECT_EQ(call(Ports[Each].address(), requiring(Number)),
                std::to_string(Number));
    }
  std::size_t Kept = 0;
  for (std::size_t Each = 0; Each < Ports.size(); ++Each)
    Kept += Client.isConnectedTo(Ports[Each].address(),
                                 5 + static_cast<std::int64_t>(Each))
                ? 1
                : 0;
  EXPECT_EQ(Kept, MaxIdle);
}

} // namespace
} // namespace jayramp::net
