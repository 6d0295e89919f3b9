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

constexpr int PollTimeoutMs = 20;

auto loopback(unsigned short Port) -> sockaddr_in {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Forwards the data that can be read at once. Returns false at the end of the
/// stream or on failure.
auto forwardAvailable(int From, int To) -> bool {
  std::array<char, 65536> Buffer;
  ssize_t ReceivedBytes = ::recv(From, Buffer.data(), Buffer.size(), 0);
  for (ssize_t SentBytes = 0; SentBytes < ReceivedBytes;) {
    ssize_t Written = ::send(
        To, Buffer.data() + SentBytes,
        static_cast<std::size_t>(ReceivedBytes - SentBytes), MSG_NOSIGNAL);
    if (Written <= 0)
      return false;
    SentBytes += Written;
  }
  return ReceivedBytes > 0;
}

} // namespace

class TcpProxy::State {
public:
  explicit State(const std::string &Target)
      : TargetPort(static_cast<unsigned short>(
            std::stoi(Target.substr(Target.rfind(':') + 1)))),
        Listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in Address = loopback(0);
    if (::bind(Listener, reinterpret_cast<sockaddr *>(&Address),
               sizeof Address) != 0 ||
        ::listen(Listener, 128) != 0)
      throw std::runtime_error(
          "TcpProxy cannot bind or listen on a loopback port");
    AcceptThread = std::thread([this] { accept(); });
  }
  ~State() {
    Stopping.store(true);
    AcceptThread.join();
    for (auto &Thread : ConnectionThreads)
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
    while (!Stopping.load()) {
      pollfd PollEntry{Listener, POLLIN, 0};
      if (::poll(&PollEntry, 1, PollTimeoutMs) <= 0)
        continue;
      int Client = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Client < 0)
        continue;
      if (Disconnected.load())
        ::close(Client);
      else
        ConnectionThreads.emplace_back(
            [this, Client] { forwardConnection(Client); });
    }
  }

  auto forwardConnection(int Client) -> void {
    int Server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = loopback(TargetPort);
    bool Open = ::connect(Server, reinterpret_cast<sockaddr *>(&Address),
                          sizeof Address) == 0;
    while (Open && !Stopping.load() && !Disconnected.load()) {
      std::array<pollfd, 2> PollEntries{
          {{Client, POLLIN, 0}, {Server, POLLIN, 0}}};
      if (::poll(PollEntries.data(), PollEntries.size(), PollTimeoutMs) <= 0)
        continue;
      if (PollEntries[0].revents != 0)
        Open = forwardAvailable(Client, Server);
      if (Open && PollEntries[1].revents != 0)
        Open = forwardAvailable(Server, Client);
    }
    ::close(Client);
    ::close(Server);
  }

  const unsigned short TargetPort;
  const int Listener;
  std::atomic<bool> Stopping{false};
  /// Only AcceptThread adds threads; the destructor joins them after it.
  std::vector<std::thread> ConnectionThreads;
  std::thread AcceptThread;
};

TcpProxy::TcpProxy(const std::string &Target)
    : Impl(std::make_unique<State>(Target)) {}

TcpProxy::~TcpProxy() = default;

auto TcpProxy::address() const -> std::string { return Impl->address(); }

auto TcpProxy::setDisconnected(bool Disconnected) -> void {
  Impl->Disconnected.store(Disconnected);
}

} // namespace jayramp
