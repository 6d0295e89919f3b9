#include "Membership/PeerThreadPool.h"

#include <utility>

namespace jayramp {

PeerThreadPool::PeerThreadPool(std::size_t ThreadCount) {
  for (std::size_t Index = 0; Index < ThreadCount; ++Index)
    Threads.emplace_back([this] { run(); });
}

PeerThreadPool::~PeerThreadPool() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  TaskAvailable.notify_all();
  for (auto &Thread : Threads)
    Thread.join();
}

auto PeerThreadPool::submit(Task NewTask, std::size_t MaxQueuedTasks) -> bool {
  {
    std::lock_guard Lock(Mutex);
    if (Tasks.size() >= MaxQueuedTasks)
      return false;
    Tasks.push_back(std::move(NewTask));
  }
  TaskAvailable.notify_one();
  return true;
}

auto PeerThreadPool::run() -> void {
  std::unique_lock Lock(Mutex);
  while (true) {
    TaskAvailable.wait(Lock, [this] { return Stopping || !Tasks.empty(); });
    if (Tasks.empty())
      return;
    Task Next = std::move(Tasks.front());
    Tasks.pop_front();
    Lock.unlock();
    Next();
    Next = nullptr;
    Lock.lock();
  }
}

} // namespace jayramp
