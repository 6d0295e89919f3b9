#pragma once

#include "Api/ApiRequest.h"
#include "Api/ApiResponse.h"
#include "Base/Result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jayramp {

class Metrics;

/// HTTP server that tracks each request until its response has been written, so
/// that a planned stop can wait for all of them.
class HttpServer {
public:
  using Respond = std::function<void(ApiResponse)>;
  /// Called on a thread of the HTTP pool; must not block. The `Respond`
  /// function may be called later and on any thread; only its first call has an
  /// effect.
  using Handler = std::function<void(ApiRequest, Respond)>;

  struct Options {
    std::string Address; ///< "IP:port" to listen on.
    /// A larger body is refused with status 413.
    std::size_t MaximumBodyBytes = 4U << 20U;
    /// Limit on the total declared length of all bodies that are being
    /// received. Requests above it are refused with status 503.
    std::size_t MaximumUnreadBytes = 64U << 20U;
  };

  /// Starts the server and blocks until it accepts connections. \p Registry
  /// must outlive it. Returns Unavailable if the address cannot be bound.
  static auto open(Options Settings, Handler Handle, Metrics &Registry)
      -> Result<std::unique_ptr<HttpServer>>;

  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  auto operator=(const HttpServer &) -> HttpServer & = delete;

  /// Returns the number of requests whose response has not been written yet.
  auto requestsInProgress() const -> std::size_t;

  /// Stops listening and breaks the connections of requests in progress. Call
  /// it only when requestsInProgress() is zero or the time limit of the planned
  /// stop has passed.
  auto close() -> void;

private:
  class Implementation;

  explicit HttpServer(std::shared_ptr<Implementation> Impl);

  std::shared_ptr<Implementation> Impl;
};

} // namespace jayramp
