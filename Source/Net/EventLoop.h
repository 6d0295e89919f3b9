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
  /// Processes events until stop() is called. An exception that a callback
  /// throws is logged.
  auto run() -> void;
  auto stop() -> void;

  /// Records that a timer that was due at \p Due runs only now.
  auto recordTimer(TimePoint Due) -> void;
  /// Returns for how long, in total, timers that were due have had to wait
  /// because the loop was busy or the process did not run. Waits of several
  /// timers at the same time count once.
  auto totalLag() const -> Clock::duration { return TotalLag; }

  auto context() -> boost::asio::io_context & { return Context; }

private:
  boost::asio::io_context Context{1};
  Clock::duration TotalLag{0};
  TimePoint LagCountedUntil; ///< Waits before this time are in TotalLag.
};

} // namespace jayramp::net
