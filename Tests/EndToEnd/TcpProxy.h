#pragma once

#include <memory>
#include <string>

namespace jayramp {

/// Passes connections on to another address until they are cut. Used to
/// separate one process from a stand-in that others still reach.
class TcpProxy {
public:
  /// \p Target is "IP:port". Throws std::runtime_error if no port is free.
  explicit TcpProxy(const std::string &Target);
  ~TcpProxy();

  auto address() const -> std::string;

  /// True: closes all connections and every new one until called with false.
  auto setDisconnected(bool Disconnected) -> void;

private:
  class State;
  std::unique_ptr<State> Body;
};

} // namespace jayramp
