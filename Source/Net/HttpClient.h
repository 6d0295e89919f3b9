#pragma once

#include "Base/Clock.h"
#include "Base/Result.h"
#include "Net/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jayramp::net {

class EventLoop;

/// HTTP/1.1 client on an event loop, with a pool of idle keep-alive connections
/// for each address.
///
/// The client never retries a request. If the connection breaks, the caller
/// decides whether the request may be repeated.
class HttpClient {
public:
  /// Receives the response or an error: Unavailable if no connection could be
  /// established, so that nothing was sent; Timeout if the request was sent at
  /// least in part and the server may have processed it.
  using Callback = std::function<void(Result<HttpResponse>)>;

  /// Limits on what the answers make the process hold.
  struct Limits {
    std::uint64_t MaxBodyBytes = 16U << 20U; ///< Of one response.
    /// Of all responses that are being received.
    std::size_t MaxHeldBytes = std::size_t{64} << 20U;
    /// Half of them may serve calls to one address, and half may be idle. A
    /// call beyond fails as Unavailable.
    std::size_t MaxConnections = 1024;
  };

  explicit HttpClient(EventLoop &Loop);
  HttpClient(EventLoop &Loop, const Limits &Given);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  auto operator=(const HttpClient &) -> HttpClient & = delete;

  /// Sends \p Request to \p Address ("ip:port") and calls \p Done exactly once,
  /// no later than after \p Timeout. While the event loop lags, the timeout is
  /// extended by the lag, up to four times \p Timeout in total, so that an
  /// overloaded host does not take its peers for dead.
  auto call(const std::string &Address, HttpRequest Request,
            Milliseconds Timeout, Callback Done) -> void;
  /// Closes the pooled idle connections to \p Address; the next call opens a
  /// new one.
  auto closeIdleConnections(const std::string &Address) -> void;

private:
  class Core;
  std::shared_ptr<Core> State;
};

} // namespace jayramp::net
