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
  Ready.notify_all();
  for (auto &Thread : Threads)
    Thread.join();
}

auto PeerThreadPool::submit(Task Added, std::size_t Limit) -> bool {
  {
    std::lock_guard Lock(Mutex);
    if (Tasks.size() >= Limit)
      return false;
    Tasks.push_back(std::move(Added));
  }
  Ready.notify_one();
  return true;
}

auto PeerThreadPool::run() -> void {
  std::unique_lock Lock(Mutex);
  while (true) {
    Ready.wait(Lock, [this] { return Stopping || !Tasks.empty(); });
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
