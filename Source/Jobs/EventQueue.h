#pragma once

#include "Membership/WakeSignal.h"

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace jayramp {

/// Results of calls on other threads, for the one thread that owns the state.
class EventQueue {
public:
  using Event = std::function<void()>;

  auto post(Event Added) -> void {
    {
      std::lock_guard Lock(Mutex);
      Events.push_back(std::move(Added));
    }
    Signal.wake();
  }
  auto take() -> std::vector<Event> {
    std::lock_guard Lock(Mutex);
    return std::exchange(Events, {});
  }
  auto signal() -> WakeSignal & { return Signal; }

private:
  std::mutex Mutex;
  std::vector<Event> Events;
  WakeSignal Signal;
};

} // namespace jayramp
