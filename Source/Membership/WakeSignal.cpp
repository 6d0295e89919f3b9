#include "Membership/WakeSignal.h"

#include <utility>

namespace jayramp {

auto WakeSignal::wake() -> void {
  {
    std::lock_guard Lock(Mutex);
    Woken = true;
  }
  Changed.notify_all();
}

auto WakeSignal::shutDown() -> void {
  {
    std::lock_guard Lock(Mutex);
    Ended = true;
  }
  Changed.notify_all();
}

auto WakeSignal::isShutDown() const -> bool {
  std::lock_guard Lock(Mutex);
  return Ended;
}

auto WakeSignal::waitUntil(TimePoint Until) -> bool {
  std::unique_lock Lock(Mutex);
  Changed.wait_until(Lock, Until, [this] { return Woken || Ended; });
  return std::exchange(Woken, false);
}

} // namespace jayramp
