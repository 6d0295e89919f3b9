#include "Membership/WakeSignal.h"

#include <utility>

namespace jayramp {

auto WakeSignal::wake() -> void {
  {
    std::lock_guard Lock(Mutex);
    WakeRequested = true;
  }
  StateChanged.notify_all();
}

auto WakeSignal::shutDown() -> void {
  {
    std::lock_guard Lock(Mutex);
    ShutDownRequested = true;
  }
  StateChanged.notify_all();
}

auto WakeSignal::isShutDown() const -> bool {
  std::lock_guard Lock(Mutex);
  return ShutDownRequested;
}

auto WakeSignal::waitUntil(TimePoint Until) -> bool {
  std::unique_lock Lock(Mutex);
  StateChanged.wait_until(
      Lock, Until, [this] { return WakeRequested || ShutDownRequested; });
  return std::exchange(WakeRequested, false);
}

} // namespace jayramp
