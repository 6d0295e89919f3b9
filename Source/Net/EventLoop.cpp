#include "Net/EventLoop.h"

#include "Base/EventLog.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <exception>

namespace jayramp::net {

namespace {

/// Shorter waits are the usual inaccuracy of timers.
constexpr Milliseconds MinLag{10};

} // namespace

class EventLoop::Timer {
public:
  Timer(boost::asio::io_context &Context, Milliseconds Delay)
      : AsioTimer(Context, Delay) {}

  boost::asio::steady_timer AsioTimer;
};

auto EventLoop::after(Milliseconds Delay, std::function<void()> Action)
    -> TimerHandle {
  auto Handle = std::make_shared<Timer>(Context, Delay);
  Handle->AsioTimer.async_wait(
      [this, Weak = std::weak_ptr<Timer>(Handle), Due = Clock::now() + Delay,
       Action = std::move(Action)](const boost::system::error_code &Failure) {
        if (Failure || Weak.expired())
          return;
        recordTimer(Due);
        Action();
      });
  return Handle;
}

auto EventLoop::recordTimer(TimePoint Due) -> void {
  const auto Now = Clock::now();
  const auto Begin = std::max(Due, LagCountedUntil);
  if (Now - Begin < MinLag)
    return;
  TotalLag += Now - Begin;
  LagCountedUntil = Now;
}

auto EventLoop::post(std::function<void()> Action) -> void {
  boost::asio::post(Context, std::move(Action));
}

auto EventLoop::run() -> void {
  auto Guard = boost::asio::make_work_guard(Context);
  // An exception ends the handler that threw it, not the process and the work
  // of all other callers.
  while (!Context.stopped())
    try {
      Context.run();
    } catch (const std::exception &Failure) {
      logEvent(LogLevel::Error, "handler-failed", {{"error", Failure.what()}});
    }
}

auto EventLoop::stop() -> void { Context.stop(); }

} // namespace jayramp::net
