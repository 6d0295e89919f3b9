#pragma once

#include "Base/Result.h"
#include "Net/ConnectionLimits.h"
#include "Net/HttpMessage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace jayramp::net {

class EventLoop;

/// HTTP/1.1 server on an event loop. Requests on one connection are handled one
/// at a time, in order.
class HttpServer {
public:
  /// Sends the response; must be called exactly once for each request.
  using Responder = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Responder)>;

  struct Options {
    std::string Name = "http"; ///< Names the server in log lines.
    ConnectionLimits Sums;
    /// Receives the reason each time a connection meets a limit.
    std::function<void(std::string_view)> OnLimit;
    /// Returns the response that tells a client why its request was refused and
    /// has not run; plain text if empty.
    std::function<HttpResponse(unsigned Status, const std::string &Detail)>
        RenderRefusal;
  };

  /// Returns a server that listens on \p Address ("ip:port"). Returns
  /// InvalidArgument if \p Address is malformed and Unavailable if it cannot be
  /// bound, for example because the port is in use.
  static auto listen(EventLoop &Loop, const std::string &Address,
                     Handler OnRequest, Options Settings = defaultOptions())
      -> Result<HttpServer>;
  HttpServer(HttpServer &&) noexcept;
  ~HttpServer();

  /// Sets the limits for later requests. A connection that already waits for a
  /// request keeps its size limits for that request.
  auto setLimits(HttpLimits Limits) -> void;
  /// Closes each connection after its next response.
  auto drain() -> void;
  /// Returns the number of requests that were received completely and whose
  /// response has not been sent completely.
  auto requestsInProgress() const -> std::size_t;
  /// Returns the number of requests that have arrived in part. Like
  /// requestsInProgress(), may be called from any thread.
  auto requestsBeingReceived() const -> std::size_t;
  /// Returns the number of open connections.
  auto connectionCount() const -> std::size_t;

private:
  static auto defaultOptions() -> Options;

  class Core;
  explicit HttpServer(std::shared_ptr<Core> State);
  std::shared_ptr<Core> State;
};

} // namespace jayramp::net
