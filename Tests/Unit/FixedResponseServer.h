#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <string_view>
#include <thread>

namespace jayramp {

/// Listens on a free loopback port and answers each connection with the same
/// bytes, then closes it. An empty answer keeps the connection silent.
class FixedResponseServer {
public:
  explicit FixedResponseServer(std::string Answer) : Answer(std::move(Answer)) {
    Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    socklen_t Size = sizeof(Address);
    if (::bind(Socket, Generic, Size) != 0 || ::listen(Socket, 8) != 0 ||
        ::getsockname(Socket, Generic, &Size) != 0)
      std::abort();
    Port = ntohs(Address.sin_port);
    Server = std::thread([this] { serve(); });
  }
  FixedResponseServer(const FixedResponseServer &) = delete;
  auto operator=(const FixedResponseServer &) -> FixedResponseServer & = delete;

  ~FixedResponseServer() {
    Stopping = true;
    ::shutdown(Socket, SHUT_RDWR);
    Server.join();
    ::close(Socket);
  }

  auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(Port);
  }

  /// Connections that sent a whole request.
  auto requests() const -> int { return Requests; }

  /// The newest whole request; read it only after its answer.
  auto lastRequest() const -> std::string { return Last; }

  /// An HTTP answer with a matching length.
  static auto http(int Status, const std::string &Body) -> std::string {
    return "HTTP/1.1 " + std::to_string(Status) +
           " Text\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }

private:
  static auto isWhole(const std::string &Text) -> bool {
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
      while (!isWhole(Text)) {
        auto Count = ::recv(Connection, Buffer, sizeof(Buffer), 0);
        if (Count <= 0)
          break;
        Text.append(Buffer, static_cast<std::size_t>(Count));
      }
      Last = Text;
      ++Requests;
      if (Answer.empty()) {
        // Silent until the client gives up or the listener ends.
        while (!Stopping && ::recv(Connection, Buffer, 1, MSG_DONTWAIT) != 0)
          ::usleep(1000);
      } else {
        ::send(Connection, Answer.data(), Answer.size(), MSG_NOSIGNAL);
      }
      ::close(Connection);
    }
  }

  std::string Answer;
  int Socket = -1;
  int Port = 0;
  std::atomic<bool> Stopping = false;
  std::atomic<int> Requests = 0;
  std::string Last;
  std::thread Server;
};

} // namespace jayramp
