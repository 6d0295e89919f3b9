#pragma once

#include "Base/Clock.h"

#include <memory>
#include <string>

namespace jayramp {

/// A blocking HTTP client with one connection, which is kept open between
/// calls. Not safe for use by several threads at once.
class HttpTestClient {
public:
  struct Response {
    unsigned Status = 0;
    std::string Body;
  };

  /// \p Address is "IP:port". The first call opens the connection.
  explicit HttpTestClient(std::string Address);
  ~HttpTestClient();
  HttpTestClient(HttpTestClient &&) noexcept;
  auto operator=(HttpTestClient &&) noexcept -> HttpTestClient &;

  /// Sends one request and returns the complete response. Throws
  /// std::runtime_error if the connection fails, ends before the response is
  /// complete or \p Timeout passes. The next call then opens a new connection.
  auto call(const std::string &Method, const std::string &Path,
            const std::string &Body = {},
            Milliseconds Timeout = std::chrono::seconds(30)) -> Response;

  /// Adds a header to all later requests.
  auto addHeader(const std::string &Name, const std::string &Value) -> void;

private:
  class Connection;

  std::unique_ptr<Connection> Impl;
};

} // namespace jayramp
