#pragma once

#include <memory>
#include <string>

namespace jayramp {

/// Forwards TCP connections to a loopback port, with one thread for each
/// connection. A test can interrupt the forwarding to disconnect one process
/// from a stand-in that other processes still reach.
class TcpProxy {
public:
  /// Forwards to the port of \p Target ("IP:port") on loopback. Throws
  /// std::runtime_error if no port can be bound.
  explicit TcpProxy(const std::string &Target);
  ~TcpProxy();

  /// Returns the "IP:port" on which connections are accepted.
  auto address() const -> std::string;

  /// True: closes all open connections, and each new one as soon as it is
  /// accepted, until called with false.
  auto setDisconnected(bool Disconnected) -> void;

private:
  class State;
  std::unique_ptr<State> Impl;
};

} // namespace jayramp
