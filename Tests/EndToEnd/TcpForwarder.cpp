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

struct Pair : std::enable_shared_from_this<Pair> {
  explicit Pair(boost::asio::io_context &Context)
      : Near(Context), Far(Context) {}

  auto close() -> void {
    boost::system::error_code Ignored;
    Near.close(Ignored);
    Far.close(Ignored);
  }

  auto forward(tcp::socket &From, tcp::socket &To,
               std::array<char, 16384> &Buffer) -> void {
    From.async_read_some(
        boost::asio::buffer(Buffer),
        [Self = shared_from_this(), &From, &To,
         &Buffer](boost::system::error_code Failure, std::size_t Size) {
          if (Failure)
            return Self->close();
          boost::asio::async_write(
              To, boost::asio::buffer(Buffer, Size),
              [Self, &From, &To, &Buffer](boost::system::error_code Broken,
                                          std::size_t) {
                if (Broken)
                  return Self->close();
                Self->forward(From, To, Buffer);
              });
        });
  }

  tcp::socket Near;
  tcp::socket Far;
  std::array<char, 16384> Up{};
  std::array<char, 16384> Down{};
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

  auto setDisconnected(bool Wanted) -> void {
    std::promise<void> Done;
    boost::asio::post(Context, [this, Wanted, &Done] {
      IsDisconnected = Wanted;
      if (IsDisconnected)
        for (const auto &Weak : Open)
          if (auto Each = Weak.lock())
            Each->close();
      std::erase_if(Open, [](const auto &Weak) { return Weak.expired(); });
      Done.set_value();
    });
    Done.get_future().wait();
  }

private:
  auto accept() -> void {
    auto Next = std::make_shared<Pair>(Context);
    Listener.async_accept(Next->Near,
                          [this, Next](boost::system::error_code Failure) {
                            if (Failure)
                              return;
                            if (!IsDisconnected)
                              connect(Next);
                            accept();
                          });
  }

  auto connect(const std::shared_ptr<Pair> &Next) -> void {
    Open.push_back(Next);
    Next->Far.async_connect(Target, [Next](boost::system::error_code Failure) {
      if (Failure)
        return Next->close();
      Next->forward(Next->Near, Next->Far, Next->Up);
      Next->forward(Next->Far, Next->Near, Next->Down);
    });
  }

  boost::asio::io_context Context;
  tcp::endpoint Target;
  tcp::acceptor Listener;
  std::vector<std::weak_ptr<Pair>> Open;
  bool IsDisconnected = false;
  std::thread Thread;
};

TcpForwarder::TcpForwarder(const std::string &Target)
    : Body(std::make_unique<Implementation>(Target)) {}

TcpForwarder::~TcpForwarder() = default;

auto TcpForwarder::address() const -> std::string {
  return "127.0.0.1:" + std::to_string(Body->port());
}

auto TcpForwarder::setDisconnected(bool Disconnected) -> void {
  Body->setDisconnected(Disconnected);
}

} // namespace jayramp
