#include "EndToEnd/TcpProxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <stdexcept>
#include <thread>
#include <vector>

namespace jayramp {

namespace {

constexpr int PollMs = 20;

auto loopback(unsigned short Port) -> sockaddr_in {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Passes on what is readable; false at the end of the stream.
auto pass(int From, int To) -> bool {
  std::array<char, 65536> Buffer;
  ssize_t Count = ::recv(From, Buffer.data(), Buffer.size(), 0);
  for (ssize_t Done = 0; Done < Count;) {
    ssize_t Part = ::send(To, Buffer.data() + Done,
                          static_cast<std::size_t>(Count - Done), MSG_NOSIGNAL);
    if (Part <= 0)
      return false;
    Done += Part;
  }
  return Count > 0;
}

} // namespace

class TcpProxy::State {
public:
  explicit State(const std::string &Target)
      : Port(static_cast<unsigned short>(
            std::stoi(Target.substr(Target.rfind(':') + 1)))),
        Listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in Address = loopback(0);
    if (::bind(Listener, reinterpret_cast<sockaddr *>(&Address),
               sizeof Address) != 0 ||
        ::listen(Listener, 128) != 0)
      throw std::runtime_error("the proxy cannot listen");
    Acceptor = std::thread([this] { accept(); });
  }
  ~State() {
    Ending.store(true);
    Acceptor.join();
    for (auto &Thread : Connections)
      Thread.join();
    ::close(Listener);
  }

  auto address() const -> std::string {
    sockaddr_in Address{};
    socklen_t Length = sizeof Address;
    ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Length);
    return "127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
  }

  std::atomic<bool> Disconnected{false};

private:
  auto accept() -> void {
    while (!Ending.load()) {
      pollfd Wait{Listener, POLLIN, 0};
      if (::poll(&Wait, 1, PollMs) <= 0)
        continue;
      int Client = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Client < 0)
        continue;
      if (Disconnected.load())
        ::close(Client);
      else
        Connections.emplace_back([this, Client] { serve(Client); });
    }
  }

  auto serve(int Client) -> void {
    int Server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = loopback(Port);
    bool Open = ::connect(Server, reinterpret_cast<sockaddr *>(&Address),
                          sizeof Address) == 0;
    while (Open && !Ending.load() && !Disconnected.load()) {
      std::array<pollfd, 2> Wait{{{Client, POLLIN, 0}, {Server, POLLIN, 0}}};
      if (::poll(Wait.data(), Wait.size(), PollMs) <= 0)
        continue;
      if (Wait[0].revents != 0)
        Open = pass(Client, Server);
      if (Open && Wait[1].revents != 0)
        Open = pass(Server, Client);
    }
    ::close(Client);
    ::close(Server);
  }

  const unsigned short Port;
  const int Listener;
  std::atomic<bool> Ending{false};
  std::vector<std::thread> Connections; ///< Used by the acceptor only.
  std::thread Acceptor;
};

TcpProxy::TcpProxy(const std::string &Target)
    : Body(std::make_unique<State>(Target)) {}

TcpProxy::~TcpProxy() = default;

auto TcpProxy::address() const -> std::string { return Body->address(); }

auto TcpProxy::setDisconnected(bool Disconnected) -> void {
  Body->Disconnected.store(Disconnected);
}

} // namespace jayramp
