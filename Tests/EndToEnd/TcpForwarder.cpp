#include "EndToEnd/TcpForwarder.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <future>
#include <thread>
#include <utility>
#include <vector>

namespace jayramp {

using boost::asio::ip::tcp;

namespace {

/// The connection of a client and the matching one to the target.
struct ForwardedConnection : std::enable_shared_from_this<ForwardedConnection> {
  explicit ForwardedConnection(boost::asio::io_context &Context)
      : ClientSocket(Context), TargetSocket(Context) {}

  auto close() -> void {
    boost::system::error_code Ignored;
    ClientSocket.close(Ignored);
    TargetSocket.close(Ignored);
  }

  /// Copies data from \p From to \p To until one of the two fails or ends.
  auto forward(tcp::socket &From, tcp::socket &To,
               std::array<char, 16384> &Buffer) -> void {
    From.async_read_some(
        boost::asio::buffer(Buffer),
        [Self = shared_from_this(), &From, &To,
         &Buffer](boost::system::error_code ReadFailure, std::size_t Size) {
          if (ReadFailure)
            return Self->close();
          boost::asio::async_write(
              To, boost::asio::buffer(Buffer, Size),
              [Self, &From, &To,
               &Buffer](boost::system::error_code WriteFailure, std::size_t) {
                if (WriteFailure)
                  return Self->close();
                Self->forward(From, To, Buffer);
              });
        });
  }

  tcp::socket ClientSocket;
  tcp::socket TargetSocket;
  std::array<char, 16384> ToTargetBuffer{};
  std::array<char, 16384> ToClientBuffer{};
};

auto parseEndpoint(const std::string &Address) -> tcp::endpoint {
  auto Colon = Address.rfind(':');
  return {boost::asio::ip::make_address(Address.substr(0, Colon)),
          static_cast<unsigned short>(std::stoi(Address.substr(Colon + 1)))};
}

} // namespace

class TcpForwarder::Implementation {
public:
  explicit Implementation(const std::string &Address)
      : Target(parseEndpoint(Address)),
        Listener(Context,
                 tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    accept();
    Thread = std::thread([this] { Context.run(); });
  }
  ~Implementation() {
    Context.stop();
    Thread.join();
  }
  Implementation(const Implementation &) = delete;
  auto operator=(const Implementation &) -> Implementation & = delete;

  auto port() const -> unsigned short {
    return Listener.local_endpoint().port();
  }

  auto setDisconnected(bool Requested) -> void {
    std::promise<void> Done;
    boost::asio::post(Context, [this, Requested, &Done] {
      IsDisconnected = Requested;
      if (IsDisconnected)
        for (const auto &Weak : Connections)
          if (auto Connection = Weak.lock())
            Connection->close();
      std::erase_if(Connections,
                    [](const auto &Weak) { return Weak.expired(); });
      Done.set_value();
    });
    Done.get_future().wait();
  }

private:
  auto accept() -> void {
    auto Accepted = std::make_shared<ForwardedConnection>(Context);
    Listener.async_accept(
        Accepted->ClientSocket,
        [this, Accepted](boost::system::error_code AcceptFailure) {
          if (AcceptFailure)
            return;
          if (!IsDisconnected)
            connect(Accepted);
          accept();
        });
  }

  auto connect(const std::shared_ptr<ForwardedConnection> &Accepted) -> void {
    Connections.push_back(Accepted);
    Accepted->TargetSocket.async_connect(
        Target, [Accepted](boost::system::error_code ConnectFailure) {
          if (ConnectFailure)
            return Accepted->close();
          Accepted->forward(Accepted->ClientSocket, Accepted->TargetSocket,
                            Accepted->ToTargetBuffer);
          Accepted->forward(Accepted->TargetSocket, Accepted->ClientSocket,
                            Accepted->ToClientBuffer);
        });
  }

  boost::asio::io_context Context;
  tcp::endpoint Target;
  tcp::acceptor Listener;
  std::vector<std::weak_ptr<ForwardedConnection>> Connections;
  bool IsDisconnected = false;
  std::thread Thread;
};

TcpForwarder::TcpForwarder(const std::string &Target)
    : Impl(std::make_unique<Implementation>(Target)) {}

TcpForwarder::~TcpForwarder() = default;

auto TcpForwarder::address() const -> std::string {
  return "127.0.0.1:" + std::to_string(Impl->port());
}

auto TcpForwarder::setDisconnected(bool Disconnected) -> void {
  Impl->setDisconnected(Disconnected);
}

} // namespace jayramp
