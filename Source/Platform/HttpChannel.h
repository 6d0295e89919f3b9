#pragma once

#include "Base/Result.h"
#include "Platform/HttpOutcome.h"

#include <functional>
#include <memory>
#include <string>

namespace jayramp {

class Metrics;
struct HttpCall;

/// Sends HTTP calls and enforces a time limit on each. Keeps one client with a
/// connection pool for each address. Discards that client when a call fails or
/// times out, because its other connections may be dead as well. All members
/// are safe to call from any thread.
class HttpChannel {
public:
  using OutcomeCallback = std::function<void(HttpOutcome)>;

  /// Creates a channel. \p Registry must outlive it. \p Name is the value of
  /// the label `channel` of the counters `http_timeouts_total` and
  /// `http_late_answers_total`.
  static auto create(std::string Name, Metrics &Registry)
      -> Result<std::unique_ptr<HttpChannel>>;

  /// Ends the calls in progress with HttpInterrupted and blocks until all
  /// running callbacks have returned. Must not be called from a callback.
  ~HttpChannel();
  HttpChannel(const HttpChannel &) = delete;
  auto operator=(const HttpChannel &) -> HttpChannel & = delete;

  /// Sends \p Call. \p Callback is called exactly once, on any thread and at
  /// the latest when the timeout of the call has passed; it must not block. A
  /// response that arrives after the timeout is discarded and counted.
  auto send(HttpCall Call, OutcomeCallback Callback) -> void;

  /// Sends \p Call, blocks until it has ended and returns its outcome. Must not
  /// be called from a handler or a task of cpprestsdk, whose threads are needed
  /// to complete the call.
  auto call(HttpCall Call) -> HttpOutcome;

private:
  class Core;
  class PendingCall;

  explicit HttpChannel(std::shared_ptr<Core> Implementation);

  std::shared_ptr<Core> Implementation;
};

} // namespace jayramp
