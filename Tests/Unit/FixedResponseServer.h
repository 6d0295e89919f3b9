#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <string_view>
#include <thread>

namespace jayramp {

/// Server on a free loopback port that sends the same bytes on each connection
/// after a whole request, then closes it. With an empty response it sends
/// nothing and keeps the connection open until the client closes it.
class FixedResponseServer {
public:
  explicit FixedResponseServer(std::string Response)
      : Response(std::move(Response)) {
    Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *GenericAddress = reinterpret_cast<sockaddr *>(&Address);
    socklen_t Size = sizeof(Address);
    if (::bind(Socket, GenericAddress, Size) != 0 || ::listen(Socket, 8) != 0 ||
        ::getsockname(Socket, GenericAddress, &Size) != 0)
      std::abort();
    Port = ntohs(Address.sin_port);
    ServerThread = std::thread([this] { serve(); });
  }
  FixedResponseServer(const FixedResponseServer &) = delete;
  auto operator=(const FixedResponseServer &) -> FixedResponseServer & = delete;

  ~FixedResponseServer() {
    Stopping = true;
    ::shutdown(Socket, SHUT_RDWR);
    ServerThread.join();
    ::close(Socket);
  }

  /// Returns the "IP:port" of the server.
  auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(Port);
  }

  /// Returns the number of requests received.
  auto requests() const -> int { return Requests; }

  /// Returns the bytes of the last request. Call it only after its response has
  /// arrived.
  auto lastRequest() const -> std::string { return LastRequest; }

  /// Returns the bytes of an HTTP response with \p Status and \p Body and the
  /// matching Content-Length.
  static auto http(int Status, const std::string &Body) -> std::string {
    return "HTTP/1.1 " + std::to_string(Status) +
           " Text\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

private:
  /// Returns true if \p Text is a complete HTTP request.
  static auto isComplete(const std::string &Text) -> bool {
    auto End = Text.find("\r\n\r\n");
    if (End == std::string::npos)
      return false;
    // The space after the colon is optional; cpprestsdk sends none.
    constexpr std::string_view Name = "Content-Length:";
    auto Length = Text.find(Name);
    if (Length == std::string::npos || Length > End)
      return true;
    return Text.size() >=
           End + 4 + std::stoul(Text.substr(Length + Name.size()));
  }

  auto serve() -> void {
    for (;;) {
      int Connection = ::accept(Socket, nullptr, nullptr);
      if (Connection < 0)
        return;
      std::string Text;
      char Buffer[4096];
      while (!isComplete(Text)) {
        auto Count = ::recv(Connection, Buffer, sizeof(Buffer), 0);
        if (Count <= 0)
          break;
        Text.append(Buffer, static_cast<std::size_t>(Count));
      }
      LastRequest = Text;
      ++Requests;
      if (Response.empty()) {
        // Waits until the client closes the connection or the server stops.
        while (!Stopping && ::recv(Connection, Buffer, 1, MSG_DONTWAIT) != 0)
          ::usleep(1000);
      } else {
        ::send(Connection, Response.data(), Response.size(), MSG_NOSIGNAL);
      }
      ::close(Connection);
    }
  }

  std::string Response;
  int Socket = -1;
  int Port = 0;
  std::atomic<bool> Stopping = false;
  std::atomic<int> Requests = 0;
  std::string LastRequest;
  std::thread ServerThread;
};

} // namespace jayramp
