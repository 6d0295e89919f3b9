#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Net/HttpMessage.h"

#include <functional>
#include <memory>
#include <string>

namespace jayramp::net {

class EventLoop;

/// HTTP/1.1 client on an event loop with kept connections for each address.
///
/// A request is sent once: if the connection breaks, the caller decides whether
/// the request may be repeated.
class HttpClient {
public:
  /// Unavailable if the connection could not be made, so nothing was sent;
  /// Timeout if the request may have been carried out.
  using Callback = std::function<void(Result<HttpResponse>)>;

  explicit HttpClient(EventLoop &Loop);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  auto operator=(const HttpClient &) -> HttpClient & = delete;

  /// Sends \p Request to \p Address ("ip:port") and calls \p Done exactly once,
  /// at the latest after \p Timeout.
  auto call(const std::string &Address, HttpRequest Request,
            Milliseconds Timeout, Callback Done) -> void;
  /// Closes the idle connections to \p Address. The next call opens a new one.
  auto closeIdleConnections(const std::string &Address) -> void;

private:
  class Core;
  std::shared_ptr<Core> State;
};

} // namespace jayramp::net
