#pragma once

#include "Membership/WakeSignal.h"

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace jayramp {

/// A queue through which other threads run functions on the thread that owns
/// the state, for example to hand over the result of a call. Thread-safe.
class EventQueue {
public:
  using Event = std::function<void()>;

  /// Appends \p NewEvent and wakes the owning thread.
  auto post(Event NewEvent) -> void {
    {
      std::lock_guard Lock(Mutex);
      Events.push_back(std::move(NewEvent));
    }
    Signal.wake();
  }
  /// Removes and returns all events, oldest first.
  auto takeAll() -> std::vector<Event> {
    std::lock_guard Lock(Mutex);
    return std::exchange(Events, {});
  }
  /// Returns the signal on which the owning thread waits for events.
  auto signal() -> WakeSignal & { return Signal; }

private:
  std::mutex Mutex;
  std::vector<Event> Events;
  WakeSignal Signal;
};

} // namespace jayramp
