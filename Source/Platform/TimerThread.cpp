#include "Platform/TimerThread.h"

namespace jayramp {

TimerThread::TimerThread() : Thread([this] { run(); }) {}

TimerThread::~TimerThread() { stop(); }

auto TimerThread::schedule(TimePoint Due, std::function<void()> Callback)
    -> Handle {
  std::lock_guard Lock(Mutex);
  Handle Scheduled{Due, NextNumber++};
  Callbacks.emplace(Scheduled, std::move(Callback));
  if (Due < Wake)
    Changed.notify_one();
  return Scheduled;
}

auto TimerThread::cancel(const Handle &Scheduled) -> void {
  std::function<void()> Dropped;
  std::lock_guard Lock(Mutex);
  auto Found = Callbacks.find(Scheduled);
  if (Found == Callbacks.end())
    return;
  // Destroyed after the lock is released, as it may own other objects.
  Dropped = std::move(Found->second);
  Callbacks.erase(Found);
}

auto TimerThread::stop() -> void {
  std::map<Handle, std::function<void()>> Dropped;
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
    Dropped.swap(Callbacks);
  }
  Changed.notify_one();
  if (Thread.joinable())
    Thread.join();
}

auto TimerThread::run() -> void {
  std::unique_lock Lock(Mutex);
  while (!Stopping) {
    if (Callbacks.empty()) {
      Wake = TimePoint::max();
      Changed.wait(Lock);
      continue;
    }
    auto First = Callbacks.begin();
    TimePoint Due = First->first.first;
    if (Clock::now() < Due) {
      Wake = Due;
      Changed.wait_until(Lock, Due);
      continue;
    }
    // The thread looks again before it sleeps, so nobody needs to wake it.
    Wake = TimePoint::min();
    auto Callback = std::move(First->second);
    Callbacks.erase(First);
    Lock.unlock();
    Callback();
    Callback = nullptr;
    Lock.lock();
  }
}

} // namespace jayramp
