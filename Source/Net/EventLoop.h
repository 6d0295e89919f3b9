#pragma once

#include "Base/Clock.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace jayramp::net {

/// The one thread on which a daemon's input, output and timers run. All
/// callbacks of this folder are called from run().
class EventLoop {
public:
  /// Cancels the timer when it is destroyed.
  class Timer;
  using TimerHandle = std::shared_ptr<Timer>;

  EventLoop() = default;
  EventLoop(const EventLoop &) = delete;
  auto operator=(const EventLoop &) -> EventLoop & = delete;

  /// Calls \p Action once after \p Delay unless the handle is dropped first.
  [[nodiscard]] auto after(Milliseconds Delay, std::function<void()> Action)
      -> TimerHandle;
  /// Calls \p Action from run(), after the current callback has returned.
  auto post(std::function<void()> Action) -> void;
  /// Handles events until stop() is called.
  auto run() -> void;
  auto stop() -> void;

  auto context() -> boost::asio::io_context & { return Context; }

private:
  boost::asio::io_context Context{1};
};

} // namespace jayramp::net
