#include "Net/HttpServer.h"
#include "Net/ByteBudget.h"
#include "Net/ConnectionTable.h"
#include "Net/EventLoop.h"
#include "Net/LimitReporter.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace jayramp::net {
namespace {

using boost::asio::ip::tcp;

const std::string Head = "POST /a HTTP/1.1\r\nHost: a\r\n";
const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";

auto repeat(const std::string &Text, std::size_t Count) -> std::string {
  std::string Repeated;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Repeated += Text;
  return Repeated;
}

auto freeAddress() -> std::string {
  boost::asio::io_context Context;
  const tcp::acceptor Acceptor(Context,
                               {boost::asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
}

/// A server on a thread of its own that answers each request with its length.
class HttpServerTest : public testing::Test {
protected:
  auto start(HttpLimits Limits, ConnectionLimits Sums) -> void {
    Address = freeAddress();
    HttpServer::Options Settings;
    Settings.Sums = Sums;
    Settings.OnLimit = [this](std::string_view Reason) { LastReason = Reason; };
    auto Started = HttpServer::listen(
        Loop, Address,
        [this](const HttpRequest &Request,
               const HttpServer::Responder &Respond) {
          ++Handled;
          Respond({200, {}, std::to_string(Request.Body.size())});
        },
        Settings);
    ASSERT_TRUE(Started) << Started.error().message();
    Server.emplace(std::move(Started).value());
    Server->setLimits(Limits);
    Thread = std::thread([this] { Loop.run(); });
  }

  ~HttpServerTest() override {
    Loop.stop();
    if (Thread.joinable())
      Thread.join();
  }

  auto connect() -> tcp::socket {
    tcp::socket Socket(Context);
    const auto Port = std::stoi(Address.substr(Address.rfind(':') + 1));
    Socket.connect({boost::asio::ip::address_v4::loopback(),
                    static_cast<unsigned short>(Port)});
    return Socket;
  }

  /// Sends \p Text and returns all that arrives until the connection ends.
  auto exchange(const std::string &Text) -> std::string {
    auto Socket = connect();
    boost::system::error_code Ignored; // The server may close while we send.
    boost::asio::write(Socket, boost::asio::buffer(Text), Ignored);
    return receive(Socket);
  }

  static auto receive(tcp::socket &Socket) -> std::string {
    std::string Answer;
    boost::system::error_code Ignored; // The end of the connection.
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Answer), Ignored);
    return Answer;
  }

  EventLoop Loop;
  std::optional<HttpServer> Server;
  std::string Address;
  std::thread Thread;
  boost::asio::io_context Context;
  std::atomic<int> Handled{0};
  std::string LastReason;
};

auto limits() -> HttpLimits {
  HttpLimits Limits;
  Limits.MaxHeaderBytes = 2000;
  Limits.MaxBodyBytes = 1000;
  Limits.MaxFramingBytes = 3000;
  Limits.MaxHeaderLines = 20;
  Limits.HeaderTimeout = Milliseconds(200);
  Limits.IdleTimeout = Milliseconds(2000);
  return Limits;
}

// Guards against a refused request that runs, and against clients that are not
// told why.
TEST_F(HttpServerTest, refusesWhatExceedsALimitAndRunsNothing) {
  start(limits(), {});
  const std::vector<std::tuple<std::string, std::string, std::string>> Cases{
      {"431", "header", Head + "X-Long: " + std::string(5000, 'h')},
      {"431", "header",
       Head + repeat("X-Line: " + std::string(200, 'h') + "\r\n", 15)},
      {"431", "header-lines", Head + repeat("a: b\r\n", 30) + "\r\n"},
      {"431", "trailers",
       Chunked + "0\r\n" + repeat("X-Trailer: 1234567890\r\n", 200)},
      {"431", "trailers", Chunked + "1;x=" + std::string(5000, 'e')},
      {"431", "header-lines",
       Chunked + "0\r\n" + repeat("a: b\r\n", 30) + "\r\n"},
      {"413", "body", Head + "Content-Length: 1001\r\n\r\n"},
      {"413", "body", Chunked + "3e9\r\n"},
      {"413", "message", Chunked + repeat("1;name=value-value\r\nx\r\n", 900)},
      {"400", "malformed", "no request\r\n\r\n"},
      {"408", "request-time", Head},
      {"408", "request-time", Head + "Content-Length: 10\r\n\r\nhalf"}};
  for (const auto &[Status, Reason, Text] : Cases) {
    const auto Answer = exchange(Text);
    EXPECT_TRUE(Answer.starts_with("HTTP/1.1 " + Status))
        << Reason << ": " << Answer;
    EXPECT_EQ(LastReason, Reason) << Answer;
  }
  EXPECT_EQ(Handled, 0);
}

TEST_F(HttpServerTest, servesTheLargestMessageInsideTheLimits) {
  start(limits(), {});
  const std::string Close = "Connection: close\r\n";
  const auto Body = std::string(1000, 'b');
  EXPECT_TRUE(exchange(Head + Close + "Content-Length: 1000\r\n\r\n" + Body)
                  .ends_with("1000"));
  EXPECT_TRUE(exchange(Head + Close + "Transfer-Encoding: chunked\r\n\r\n" +
                       repeat("1\r\nx\r\n", 500) + "0\r\nX-Sum: 1\r\n\r\n")
                  .ends_with("500"));
  EXPECT_TRUE(exchange(Head + Close + "X-Long: " + std::string(1900, 'h') +
                       "\r\nContent-Length: 1\r\n\r\nx")
                  .ends_with("1"));
}

// Guards against messages that together take more than the limit although each
// is allowed, and against small requests that are refused with them.
TEST_F(HttpServerTest, largeRequestsWaitForRoomAndSmallOnesDoNot) {
  auto Limits = limits();
  Limits.MaxBodyBytes = 200000;
  ConnectionLimits Sums;
  Sums.MaxHeldBytes = 100000;
  start(Limits, Sums);
  const auto Large = Head + "Content-Length: 200000\r\n\r\n";
  EXPECT_TRUE(
      exchange(Large + std::string(200000, 'b')).starts_with("HTTP/1.1 503"));
  EXPECT_EQ(LastReason, "memory");
  auto Holder = connect();
  boost::asio::write(Holder, boost::asio::buffer(Large));
  boost::asio::write(Holder, boost::asio::buffer(std::string(150000, 'b')));
  EXPECT_TRUE(exchange(Head + "Connection: close\r\nContent-Length: 1\r\n\r\nx")
                  .ends_with("1"));
  EXPECT_TRUE(receive(Holder).find("503") != std::string::npos);
  // All of it is free again.
  EXPECT_TRUE(exchange(Head +
                       "Connection: close\r\nContent-Length: 60000\r\n"
                       "\r\n" +
                       std::string(60000, 'b'))
                  .ends_with("60000"));
  EXPECT_EQ(Handled, 2);
}

TEST_F(HttpServerTest, closesTheLeastUsefulConnectionForANewOne) {
  ConnectionLimits Sums;
  Sums.MaxConnections = 2;
  start(limits(), Sums);
  auto Kept = connect();
  boost::asio::write(Kept, boost::asio::buffer(Head + "\r\n"));
  char First = 0;
  boost::asio::read(Kept, boost::asio::buffer(&First, 1));
  auto Unused = connect();
  EXPECT_TRUE(exchange(Head + "Connection: close\r\n\r\n").ends_with("0"));
  EXPECT_EQ(LastReason, "connections");
  EXPECT_EQ(receive(Unused), "");
}

TEST(ConnectionTableTest, choosesTheLeastUsefulConnection) {
  using Table = ConnectionTable<int>;
  Table Connections;
  int Items[4];
  const TimePoint Start;
  const auto Busy = Connections.add(&Items[0], Start);
  Connections.move(Busy, Table::State::Busy, Start);
  EXPECT_EQ(Connections.leastUseful(Start), nullptr);
  const auto Idle = Connections.add(&Items[1], Start);
  Connections.move(Idle, Table::State::Idle, Start);
  const auto Reading = Connections.add(&Items[2], Start);
  Connections.move(Reading, Table::State::Reading, Start);
  EXPECT_EQ(Connections.leastUseful(Start), &Items[1]);
  const auto Later = Start + Table::SlowReadTime;
  EXPECT_EQ(Connections.leastUseful(Later), &Items[2]);
  const auto Unused = Connections.add(&Items[3], Later);
  EXPECT_EQ(Connections.leastUseful(Later), &Items[3]);
  Connections.remove(Unused);
  Connections.remove(Reading);
  EXPECT_EQ(Connections.leastUseful(Later), &Items[1]);
  EXPECT_EQ(Connections.size(), 2U);
}

TEST(ByteBudgetTest, holdersWaitInTurnForBytesThatOthersReturn) {
  std::vector<std::function<void()>> Posted;
  const auto Budget = std::make_shared<ByteBudget>(
      100, [&](std::function<void()> Action) { Posted.push_back(Action); });
  ByteBudget::Share First(Budget);
  ByteBudget::Share Second(Budget);
  EXPECT_TRUE(First.trySet(90));
  EXPECT_FALSE(Second.trySet(20));
  bool Resumed = false;
  const auto Ticket = Budget->waitForRoom([&] { Resumed = Second.trySet(20); });
  auto Dropped = Budget->waitForRoom([] { FAIL(); });
  Dropped.reset();
  First.set(50);
  ASSERT_EQ(Posted.size(), 1U);
  Posted[0]();
  EXPECT_TRUE(Resumed);
  EXPECT_EQ(Budget->used(), 70U);
}

TEST(LimitReporterTest, logsEachReasonOnceASecondWithTheNumberOfCases) {
  LimitReporter Reporter("callers", {});
  const TimePoint Start(std::chrono::hours(1));
  EXPECT_EQ(Reporter.countCase("body", Start), 1U);
  EXPECT_EQ(Reporter.countCase("body", Start), 0U);
  EXPECT_EQ(Reporter.countCase("header", Start), 1U);
  EXPECT_EQ(Reporter.countCase("body", Start + Milliseconds(1000)), 2U);
}

} // namespace
} // namespace jayramp::net
