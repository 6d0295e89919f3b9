#pragma once

#include <memory>
#include <string>

namespace jayramp {

/// Forwards TCP connections from a loopback port to another and can be cut, so
/// that a test separates one process from a service that others still reach.
class TcpForwarder {
public:
  /// \p Target is "IP:port". Throws on failure.
  explicit TcpForwarder(const std::string &Target);
  ~TcpForwarder();
  TcpForwarder(const TcpForwarder &) = delete;
  auto operator=(const TcpForwarder &) -> TcpForwarder & = delete;

  /// "IP:port" to connect to.
  auto address() const -> std::string;
  /// While cut, connections are closed at once, open ones included.
  auto setDisconnected(bool Disconnected) -> void;

private:
  class Implementation;

  std::unique_ptr<Implementation> Body;
};

} // namespace jayramp
