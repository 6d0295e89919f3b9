#pragma once

#include "Base/Result.h"
#include "Net/HttpMessage.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace jayramp::net {

class EventLoop;

/// HTTP/1.1 server on an event loop. Requests of one connection are handled one
/// after another.
class HttpServer {
public:
  /// Sends the answer; must be called exactly once for each request.
  using Responder = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Responder)>;

  /// Listens on \p Address ("ip:port"). Unavailable if the port is taken.
  static auto listen(EventLoop &Loop, const std::string &Address,
                     Handler OnRequest) -> Result<HttpServer>;
  HttpServer(HttpServer &&) noexcept;
  ~HttpServer();

  /// Holds for messages whose first byte arrives from now on.
  auto setLimits(HttpLimits Limits) -> void;
  /// Ends each connection after the answer in progress.
  auto drain() -> void;
  /// Requests read whole and not yet answered to the last byte.
  auto requestsInProgress() const -> std::size_t;

private:
  class Core;
  explicit HttpServer(std::shared_ptr<Core> State);
  std::shared_ptr<Core> State;
};

} // namespace jayramp::net
