#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jayramp::net {

/// One header line of an HTTP message.
using HttpHeader = std::pair<std::string, std::string>;

/// An HTTP request that has been read or is to be sent whole.
struct HttpRequest {
  std::string Method;
  std::string Target; ///< Path with query, as on the request line.
  std::vector<HttpHeader> Headers;
  std::string Body;

  /// Value of the first header with this name, compared without case; empty if
  /// there is none.
  auto header(std::string_view Name) const -> std::string_view;

  auto operator==(const HttpRequest &) const -> bool = default;
};

/// An HTTP response that has been read or is to be sent whole.
struct HttpResponse {
  unsigned Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;

  auto operator==(const HttpResponse &) const -> bool = default;
};

/// Limits on what a server reads from one connection.
struct HttpLimits {
  std::uint32_t MaxHeaderBytes = 16384;
  std::uint64_t MaxBodyBytes = 262144;
  std::chrono::milliseconds HeaderTimeout{3000};
  std::chrono::milliseconds IdleTimeout{15000};

  auto operator==(const HttpLimits &) const -> bool = default;
};

} // namespace jayramp::net
