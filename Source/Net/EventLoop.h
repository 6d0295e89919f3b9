#pragma once

#include "Base/Clock.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace jayramp::net {

/// Event loop that runs a daemon's I/O and timers on a single thread. All
/// callbacks of the net namespace are called from run().
class EventLoop {
public:
  /// A pending timer, which is cancelled when the object is destroyed.
  class Timer;
  using TimerHandle = std::shared_ptr<Timer>;

  EventLoop() = default;
  EventLoop(const EventLoop &) = delete;
  auto operator=(const EventLoop &) -> EventLoop & = delete;

  /// Calls \p Action once after \p Delay, unless all copies of the returned
  /// handle are destroyed first.
  [[nodiscard]] auto after(Milliseconds Delay, std::function<void()> Action)
      -> TimerHandle;
  /// Queues \p Action, which run() calls after the current callback returns.
  auto post(std::function<void()> Action) -> void;
  /// Processes events until stop() is called.
  auto run() -> void;
  auto stop() -> void;

  auto context() -> boost::asio::io_context & { return Context; }

private:
  boost::asio::io_context Context{1};
};

} // namespace jayramp::net
