#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace jayramp::test {

/// A loopback port that nobody else receives while no process listens on it:
/// a socket that is bound, but does not listen, holds it.
class LoopbackPort {
public:
  LoopbackPort() : Holder(Context) {
    Holder.open(boost::asio::ip::tcp::v4());
    Holder.set_option(boost::asio::socket_base::reuse_address(true));
    Holder.bind({boost::asio::ip::address_v4::loopback(), 0});
  }

  auto endpoint() const -> boost::asio::ip::tcp::endpoint {
    return Holder.local_endpoint();
  }
  auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(endpoint().port());
  }

private:
  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Holder;
};

} // namespace jayramp::test
