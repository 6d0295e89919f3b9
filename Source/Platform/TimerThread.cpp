#include "Platform/TimerThread.h"

namespace jayramp {

TimerThread::TimerThread() : Thread([this] { run(); }) {}

TimerThread::~TimerThread() { stop(); }

auto TimerThread::schedule(TimePoint Due, std::function<void()> Callback)
    -> Handle {
  std::lock_guard Lock(Mutex);
  Handle Scheduled{Due, NextSequenceNumber++};
  Callbacks.emplace(Scheduled, std::move(Callback));
  if (Due < NextWakeUp)
    WakeUp.notify_one();
  return Scheduled;
}

auto TimerThread::cancel(const Handle &Scheduled) -> void {
  std::function<void()> Removed;
  std::lock_guard Lock(Mutex);
  auto Found = Callbacks.find(Scheduled);
  if (Found == Callbacks.end())
    return;
  // Declared before the lock and thus destroyed after it is released: the
  // destructors of captured objects must not run under the lock.
  Removed = std::move(Found->second);
  Callbacks.erase(Found);
}

auto TimerThread::stop() -> void {
  std::map<Handle, std::function<void()>> Removed;
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
    Removed.swap(Callbacks);
  }
  WakeUp.notify_one();
  if (Thread.joinable())
    Thread.join();
}

auto TimerThread::run() -> void {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    if (Callbacks.empty()) {
      NextWakeUp = TimePoint::max();
      WakeUp.wait(Lock);
      continue;
    }
    auto First = Callbacks.begin();
    TimePoint Due = First->first.first;
    if (Clock::now() < Due) {
      NextWakeUp = Due;
      WakeUp.wait_until(Lock, Due);
      continue;
    }
    // The thread checks for due callbacks before it waits again, so schedule()
    // does not have to notify it.
    NextWakeUp = TimePoint::min();
    auto Callback = std::move(First->second);
    Callbacks.erase(First);
    Lock.unlock();
    Callback();
    Callback = nullptr;
    Lock.lock();
  }
}

} // namespace jayramp
