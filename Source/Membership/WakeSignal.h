#pragma once

#include "Base/Clock.h"

#include <condition_variable>
#include <mutex>

namespace jayramp {

/// Lets one thread sleep until a time, a wake() or the end. Thread-safe.
class WakeSignal {
public:
  /// Ends the next or the current wait early.
  auto wake() -> void;
  /// Ends every wait at once from now on.
  auto shutDown() -> void;
  auto isShutDown() const -> bool;
  /// Sleeps until \p Until; true if woken earlier by wake().
  auto waitUntil(TimePoint Until) -> bool;

private:
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  bool Woken = false;
  bool Ended = false;
};

} // namespace jayramp
