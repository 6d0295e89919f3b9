#pragma once

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace jayramp::platform_test {

/// What each connection of a crowd sends.
struct CrowdKind {
  std::size_t Connections = 20;
  std::string Opening;         ///< Sent first.
  std::string Filler;          ///< Then repeated.
  std::size_t FillerBytes = 0; ///< Bytes of the repeated filler.
  bool ReadsAnswers = true;
};

/// Connections of clients that do not keep to the limits. They stay open until
/// the crowd is destroyed or the server closes them.
class ConnectionCrowd {
public:
  /// Opens the connections to \p Address ("127.0.0.1:port").
  ConnectionCrowd(const std::string &Address, const CrowdKind &Kind);
  ~ConnectionCrowd();

  /// Sends until each connection has sent everything or was closed, or none has
  /// got on for a while.
  auto play() -> void;
  /// Waits until each connection has received something or was closed.
  auto waitForAnswers() -> void;
  /// Returns the start of what each connection has received.
  auto answers() const -> std::vector<std::string>;
  /// Returns the bytes that all connections have sent so far.
  auto sentBytes() const -> std::size_t;

private:
  class Member;

  boost::asio::io_context Context;
  std::vector<std::shared_ptr<Member>> Members;
};

} // namespace jayramp::platform_test
