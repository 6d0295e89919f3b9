#include "HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace review {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

/// Returns a socket that listens on \p Port; -1 if the port is in use.
auto listenOn(unsigned Port) -> int {
  const int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int Enabled = 1;
  setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
  const auto Endpoint = loopbackEndpoint(Port);
  if (bind(Descriptor, reinterpret_cast<const sockaddr *>(&Endpoint),
           sizeof(Endpoint)) == 0 &&
      listen(Descriptor, SOMAXCONN) == 0)
    return Descriptor;
  ::close(Descriptor);
  return -1;
}

/// Makes the close of \p Connection a reset, and ends a read that waits on it.
auto prepareReset(int Connection) -> void {
  const linger Reset{1, 0};
  setsockopt(Connection, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
  shutdown(Connection, SHUT_RD);
}

} // namespace

HttpServer::HttpServer() : Port(freePort()) {}

auto HttpServer::address() const -> std::string {
  return "127.0.0.1:" + std::to_string(Port);
}

auto HttpServer::open(HttpHandler Next) -> void {
  {
    std::lock_guard Lock(Mutex);
    Handler = std::move(Next);
    ++OpenCount;
    IsSuspended = false;
    Opened.notify_all();
  }
  if (Listener < 0)
    listen();
}

auto HttpServer::listen() -> void {
  Listener = listenOn(Port);
  Acceptor = std::jthread([this] { accept(); });
}

auto HttpServer::close() -> void {
  // Ends the accept that waits, and resets the connections that wait for one.
  shutdown(Listener, SHUT_RDWR);
  Acceptor = {};
  ::close(std::exchange(Listener, -1));
  std::lock_guard Lock(Mutex);
  for (const auto Each : Connections)
    prepareReset(Each);
}

auto HttpServer::suspend() -> void {
  std::lock_guard Lock(Mutex);
  IsSuspended = true;
}

auto HttpServer::accept() -> void {
  while (true) {
    const int Accepted = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Accepted < 0 && errno == EINVAL)
      return;
    if (Accepted < 0)
      continue;
    {
      std::lock_guard Lock(Mutex);
      Connections.insert(Accepted);
    }
    std::thread([this, Accepted] { serve(Accepted); }).detach();
  }
}

auto HttpServer::serve(int Connection) -> void {
  // Never destroyed: the threads use it until the process ends.
  static auto &Context = *new boost::asio::io_context;
  tcp::socket Socket(Context, tcp::v4(), Connection);
  ErrorCode Failure;
  Socket.set_option(tcp::no_delay(true), Failure);
  answerRequests(Socket);
  std::lock_guard Lock(Mutex);
  Connections.erase(Connection);
  Socket.close(Failure);
}

auto HttpServer::isPresentProcess(std::uint64_t Number) -> bool {
  std::lock_guard Lock(Mutex);
  return Number == OpenCount;
}

auto HttpServer::answerRequests(tcp::socket &Socket) -> void {
  std::unique_lock Lock(Mutex);
  Opened.wait(Lock, [this] { return !IsSuspended; });
  const auto Process = OpenCount;
  const auto Handle = Handler;
  Lock.unlock();
  boost::beast::flat_buffer Buffer;
  ErrorCode Failure;
  while (true) {
    http::request<http::string_body> Received;
    http::read(Socket, Buffer, Received, Failure);
    if (Failure)
      return;
    if (!isPresentProcess(Process)) {
      prepareReset(Socket.native_handle());
      return;
    }
    const auto Answer =
        Handle({Received.method_string().to_string(),
                Received.target().to_string(), Received.body()});
    // An unanswered call leaves the connection open and silent.
    if (!Answer)
      continue;
    http::response<http::string_body> Message;
    Message.version(11);
    Message.result(Answer->Status);
    Message.set(http::field::content_type, "application/json");
    Message.keep_alive(Received.keep_alive());
    Message.body() = Answer->Body;
    Message.prepare_payload();
    http::write(Socket, Message, Failure);
    if (Failure || !Received.keep_alive())
      return;
  }
}

} // namespace review
