#pragma once

#include <memory>
#include <string>

namespace jayramp {

/// Forwards TCP connections from a loopback port to another address on a
/// background thread. A test can interrupt the forwarding to disconnect one
/// process from a service that other processes still reach.
class TcpForwarder {
public:
  /// \p Target is "IP:port". Throws std::exception if the address is malformed
  /// or no port can be bound.
  explicit TcpForwarder(const std::string &Target);
  ~TcpForwarder();
  TcpForwarder(const TcpForwarder &) = delete;
  auto operator=(const TcpForwarder &) -> TcpForwarder & = delete;

  /// Returns the "IP:port" on which connections are accepted.
  auto address() const -> std::string;
  /// True: closes all open connections, and each new one as soon as it is
  /// accepted, until called with false.
  auto setDisconnected(bool Disconnected) -> void;

private:
  class Implementation;

  std::unique_ptr<Implementation> Impl;
};

} // namespace jayramp
