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

/// HTTP listener that counts a request as in progress until its response has
/// been written, so that a stop interrupts none.
class HttpServer {
public:
  using Respond = std::function<void(ApiResponse)>;
  /// Called on a thread of the HTTP pool; must not block. `Respond` may be
  /// called later and on any thread; only its first call has an effect.
  using Handler = std::function<void(ApiRequest, Respond)>;

  struct Options {
    std::string Address; ///< "IP:port" to listen on.
    std::size_t MaximumBodyBytes = 4U << 20U;
    /// Bound on the sum of declared lengths of bodies not read to their end.
    std::size_t MaximumUnreadBytes = 64U << 20U;
  };

  /// Opens the listener; blocks until it accepts connections.
  /// \returns Unavailable if the address cannot be bound.
  static auto open(Options Settings, Handler Handle, Metrics &Registry)
      -> Result<std::unique_ptr<HttpServer>>;

  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  auto operator=(const HttpServer &) -> HttpServer & = delete;

  /// Requests whose response has not been written yet.
  auto requestsInProgress() const -> std::size_t;

  /// Stops listening. Closing cuts requests in progress: call it only when
  /// requestsInProgress() is zero or the time limit of a stop is over.
  auto close() -> void;

private:
  class Implementation;

  explicit HttpServer(std::shared_ptr<Implementation> Body);

  std::shared_ptr<Implementation> Body;
};

} // namespace jayramp
