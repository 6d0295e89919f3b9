#pragma once

#include "Base/Result.h"
#include "Platform/HttpOutcome.h"

#include <functional>
#include <memory>
#include <string>

namespace jayramp {

class Metrics;
struct HttpCall;

/// Sends HTTP calls with a strict time limit for each. Keeps one pooled client
/// for each address and drops it after a timeout, because its connections may
/// have gone silent. All members are safe to call from any thread.
class HttpChannel {
public:
  using OutcomeCallback = std::function<void(HttpOutcome)>;

  /// \p Registry must outlive the channel. \p Name labels the counters:
  /// `http_timeouts_total`, `http_late_answers_total`.
  static auto create(std::string Name, Metrics &Registry)
      -> Result<std::unique_ptr<HttpChannel>>;

  /// Ends calls in progress as broken and waits for callbacks that run. Must
  /// not run in a callback.
  ~HttpChannel();
  HttpChannel(const HttpChannel &) = delete;
  auto operator=(const HttpChannel &) -> HttpChannel & = delete;

  /// Sends \p Call. \p Callback is called exactly once, on any thread and at
  /// the latest when the timeout has passed; it must not block. An answer that
  /// arrives later is dropped and counted.
  auto send(HttpCall Call, OutcomeCallback Callback) -> void;

  /// Sends \p Call and blocks until it has ended. Must not be called from a
  /// handler or a task of cpprestsdk.
  auto call(HttpCall Call) -> HttpOutcome;

private:
  class Core;
  class Exchange;

  explicit HttpChannel(std::shared_ptr<Core> Implementation);

  std::shared_ptr<Core> Implementation;
};

} // namespace jayramp
