#include "Base/SuspendAwareClock.h"

#include <ctime>

namespace jayramp {

auto suspendAwareNow() -> Milliseconds {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return std::chrono::duration_cast<Milliseconds>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace jayramp
