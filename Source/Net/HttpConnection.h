#pragma once

#include "Net/ByteBudget.h"
#include "Net/ConnectionLimits.h"
#include "Net/ConnectionTable.h"
#include "Net/EventLoop.h"
#include "Net/HttpMessage.h"
#include "Net/HttpServer.h"
#include "Net/LimitReporter.h"
#include "Net/MessageReader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jayramp::net {

class HttpConnection;

/// What the connections of one server share.
struct HttpServerState {
  EventLoop &Loop;
  HttpServer::Handler OnRequest;
  ConnectionLimits Sums;
  std::shared_ptr<ByteBudget> Budget;
  LimitReporter Reporter;
  std::function<HttpResponse(unsigned, const std::string &)> RenderRefusal;
  HttpLimits Limits;
  bool Draining = false;
  // Read by other threads.
  std::atomic<std::size_t> InProgress{0};
  std::atomic<std::size_t> BeingReceived{0};
  ConnectionTable<HttpConnection> Table;
};

/// One accepted connection. Reads one request at a time; what follows stays
/// unread until it is answered.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  using Socket = boost::asio::ip::tcp::socket;
  using ErrorCode = boost::system::error_code;

  HttpConnection(std::shared_ptr<HttpServerState> Owner, Socket Accepted);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  auto operator=(const HttpConnection &) -> HttpConnection & = delete;

  auto readNext() -> void;
  /// Closes the connection to make room for another one. A request that is
  /// being received is refused and has not run.
  auto evict() -> void;
  /// Returns the bytes that the kernel holds for this connection.
  auto unreadBytes() -> std::size_t;
  /// Sends a refusal with status 503 if the socket takes it at once.
  static auto sendBusy(Socket &Target) -> void;

private:
  enum class Phase { Waiting, Reading, Answering, Writing, Lingering, Closed };
  using Place = ConnectionTable<HttpConnection>;

  /// Changes the phase and the place in the table.
  auto enter(Phase Next) -> void;
  auto startReading() -> void;
  auto read() -> void;
  auto onRead(ErrorCode Failure, std::size_t Size) -> void;
  auto parse() -> void;
  auto handle() -> void;
  auto rejectMessage(MessageFault Fault) -> void;
  /// Answers a request that was not received whole, then closes.
  auto refuse(unsigned Status, std::string_view Reason, const std::string &Text)
      -> void;
  auto write(HttpResponse Response) -> void;
  auto onWritten(ErrorCode Failure) -> void;
  /// Takes what still arrives for a moment, because closing a socket with
  /// unread bytes would destroy the refusal on its way.
  auto linger() -> void;
  auto startDeadline(Milliseconds Timeout) -> void;
  auto onDeadline() -> void;
  auto report(std::string_view Reason) -> void;
  auto close() -> void;

  std::shared_ptr<HttpServerState> Owner;
  Socket Stream;
  boost::asio::steady_timer Deadline;
  MessageReader<true> Reader;
  ByteBudget::Share Held;
  ByteBudget::Ticket WaitingForRoom;
  Place::Handle Entry;
  std::optional<boost::beast::http::response<boost::beast::http::string_body>>
      Message;
  Phase Current = Phase::Waiting;
  std::uint64_t RequestNumber = 0;  ///< Counts the requests, from 1.
  std::uint64_t AnsweredNumber = 0; ///< The last request that was answered.
  std::size_t LingerBytesLeft;
  bool KeepAlive = true;
  bool Refused = false;
  bool ReadPending = false;
};

} // namespace jayramp::net
