#pragma once

#include <memory>
#include <string>

namespace jayramp {

/// Forwards TCP connections from a loopback port to another and can be cut, so
/// that a test separates one process from a service that others still reach.
class TcpLink {
public:
  /// \p Target is "IP:port". Throws on failure.
  explicit TcpLink(const std::string &Target);
  ~TcpLink();
  TcpLink(const TcpLink &) = delete;
  auto operator=(const TcpLink &) -> TcpLink & = delete;

  /// "IP:port" to connect to.
  auto address() const -> std::string;
  /// While cut, connections are closed at once, open ones included.
  auto setCut(bool Cut) -> void;

private:
  class Implementation;

  std::unique_ptr<Implementation> Body;
};

} // namespace jayramp
