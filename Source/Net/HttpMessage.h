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

/// A complete HTTP request, received or to be sent.
struct HttpRequest {
  std::string Method;
  std::string Target; ///< Path and query, as in the request line.
  std::vector<HttpHeader> Headers;
  std::string Body;

  /// Returns the value of the first header called \p Name, ignoring case, or
  /// an empty string if there is none.
  auto header(std::string_view Name) const -> std::string_view;

  auto operator==(const HttpRequest &) const -> bool = default;
};

/// A complete HTTP response, received or to be sent.
struct HttpResponse {
  unsigned Status = 0;
  std::vector<HttpHeader> Headers;
  std::string Body;

  auto operator==(const HttpResponse &) const -> bool = default;
};

/// Limits on the size and duration of one message.
struct HttpLimits {
  /// Of the header, and of trailers or the line before a chunk.
  std::uint32_t MaxHeaderBytes = 16384;
  std::uint64_t MaxBodyBytes = 262144;
  /// Time to read a whole request, counted from its first byte.
  std::chrono::milliseconds HeaderTimeout{3000};
  /// Time to wait for the next request, and time to write a response.
  std::chrono::milliseconds IdleTimeout{15000};
  /// Lines of the header and the trailers; each takes far more than its size.
  std::uint32_t MaxHeaderLines = 256;
  /// Bytes of a chunked message that are neither header nor body.
  std::uint64_t MaxFramingBytes = 2U << 20U;

  /// Returns the limit on a whole message.
  auto maxMessageBytes() const -> std::uint64_t {
    return MaxHeaderBytes + MaxBodyBytes + MaxFramingBytes;
  }
  /// Returns the framing of a body of \p BodyBytes in chunks of one byte.
  static auto framingOf(std::uint64_t BodyBytes) -> std::uint64_t {
    constexpr std::uint64_t BytesPerChunk = 5;
    return BodyBytes * BytesPerChunk;
  }

  auto operator==(const HttpLimits &) const -> bool = default;
};

} // namespace jayramp::net
