#pragma once

#include "Base/Clock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace jayramp {

/// Runs callbacks at given times on a dedicated thread, so that timeouts fire
/// even when all HTTP threads are busy.
class TimerThread {
public:
  /// Identifies a scheduled callback.
  using Handle = std::pair<TimePoint, std::uint64_t>;

  TimerThread();

  ~TimerThread();
  TimerThread(const TimerThread &) = delete;
  auto operator=(const TimerThread &) -> TimerThread & = delete;

  /// Runs \p Callback at \p Due. It must not block for long, because it delays
  /// all later callbacks. Returns a handle for cancel().
  auto schedule(TimePoint Due, std::function<void()> Callback) -> Handle;

  /// Removes a callback that has not started. Has no effect if it has started
  /// or ended.
  auto cancel(const Handle &Scheduled) -> void;

  /// Removes all callbacks that have not started and joins the thread. Must not
  /// be called from a callback.
  auto stop() -> void;

private:
  auto run() -> void;

  std::mutex Mutex;
  std::condition_variable WakeUp;
  std::map<Handle, std::function<void()>> Callbacks;
  std::uint64_t NextSequenceNumber = 0;
  /// Time at which the thread wakes up by itself. schedule() notifies the
  /// thread only for an earlier callback. Most callbacks are due later than
  /// those scheduled before, so this avoids nearly all notifications.
  TimePoint NextWakeUp = TimePoint::min();
  bool Stopping = false;
  std::thread Thread;
};

} // namespace jayramp
