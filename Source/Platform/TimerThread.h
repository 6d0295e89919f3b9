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

/// Runs callbacks at given times on a thread of its own, so that a time limit
/// holds even when every HTTP thread is busy.
class TimerThread {
public:
  /// Identifies a scheduled callback.
  using Handle = std::pair<TimePoint, std::uint64_t>;

  TimerThread();

  ~TimerThread();
  TimerThread(const TimerThread &) = delete;
  auto operator=(const TimerThread &) -> TimerThread & = delete;

  /// Runs \p Callback at \p Due; it must not block for long.
  auto schedule(TimePoint Due, std::function<void()> Callback) -> Handle;

  /// Drops a callback that has not started. Has no effect otherwise.
  auto cancel(const Handle &Scheduled) -> void;

  /// Drops callbacks that are not yet due and ends the thread. Must not be
  /// called from a callback.
  auto stop() -> void;

private:
  auto run() -> void;

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<Handle, std::function<void()>> Callbacks;
  std::uint64_t NextNumber = 0;
  /// Until when the thread sleeps. Most callbacks are cancelled and later ones
  /// are due later, so it rarely has to be woken.
  TimePoint Wake = TimePoint::min();
  bool Stopping = false;
  std::thread Thread;
};

} // namespace jayramp
