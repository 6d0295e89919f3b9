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

/// What a call demands of the process at the far end of its connection, or
/// learns about it. A connection leads to one process until it is closed, so
/// a process that has identified itself on a connection receives all later
/// requests on it, and no other process does.
struct PeerBinding {
  /// Number of the process that may receive the request; 0 for any. The call
  /// fails as Unavailable unless isConnectedTo() that process.
  std::int64_t Required = 0;
  /// Returns the number of the process that sent a response; 0 if the
  /// response does not tell. Such a call uses a connection whose process is
  /// not known yet.
  std::function<std::int64_t(const HttpResponse &)> Identify;
};

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
            Milliseconds Timeout, Callback Done, PeerBinding Peer = {}) -> void;
  /// Returns whether an idle connection to \p Address leads to the process \p
  /// Peer.
  auto isConnectedTo(const std::string &Address, std::int64_t Peer) const
      -> bool;
  /// Closes the pooled idle connections to \p Address; the next call opens a
  /// new one.
  auto closeIdleConnections(const std::string &Address) -> void;

private:
  class Core;
  std::shared_ptr<Core> State;
};

} // namespace jayramp::net
