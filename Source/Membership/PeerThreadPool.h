#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace jayramp {

/// Fixed-size thread pool that runs the handlers and callbacks of the peer
/// transport. Thread-safe.
class PeerThreadPool {
public:
  using Task = std::function<void()>;

  explicit PeerThreadPool(std::size_t ThreadCount);
  /// Runs the queued tasks, then joins the threads.
  ~PeerThreadPool();
  PeerThreadPool(const PeerThreadPool &) = delete;
  auto operator=(const PeerThreadPool &) -> PeerThreadPool & = delete;

  /// Queues \p NewTask. Returns false if \p MaxQueuedTasks tasks are queued
  /// already.
  auto submit(Task NewTask, std::size_t MaxQueuedTasks) -> bool;

private:
  auto run() -> void;

  std::mutex Mutex;
  std::condition_variable TaskAvailable;
  std::deque<Task> Tasks;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace jayramp
