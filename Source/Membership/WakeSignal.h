#pragma once

#include "Base/Clock.h"

#include <condition_variable>
#include <mutex>

namespace jayramp {

/// Lets one thread sleep until a given time, a wake() or shutDown().
/// Thread-safe.
class WakeSignal {
public:
  /// Ends the current wait early, or the next one if no thread is waiting.
  auto wake() -> void;
  /// Ends the current wait; later waits return at once.
  auto shutDown() -> void;
  auto isShutDown() const -> bool;
  /// Sleeps until \p Until. Returns whether wake() was called before or during
  /// the wait.
  auto waitUntil(TimePoint Until) -> bool;

private:
  mutable std::mutex Mutex;
  std::condition_variable StateChanged;
  bool WakeRequested = false;
  bool ShutDownRequested = false;
};

} // namespace jayramp
