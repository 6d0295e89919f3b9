#pragma once

#include "Base/Result.h"
#include "Net/HttpMessage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace jayramp::net {

class EventLoop;

/// HTTP/1.1 server on an event loop. Requests on one connection are handled one
/// at a time, in order.
class HttpServer {
public:
  /// Sends the response; must be called exactly once for each request.
  using Responder = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Responder)>;

  /// Returns a server that listens on \p Address ("ip:port"). Returns
  /// InvalidArgument if \p Address is malformed and Unavailable if it cannot be
  /// bound, for example because the port is in use.
  static auto listen(EventLoop &Loop, const std::string &Address,
                     Handler OnRequest) -> Result<HttpServer>;
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

private:
  class Core;
  explicit HttpServer(std::shared_ptr<Core> State);
  std::shared_ptr<Core> State;
};

} // namespace jayramp::net
