#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace jayramp {

/// A few threads that run the handlers and callbacks of the peer transport.
/// Thread-safe.
class PeerThreadPool {
public:
  using Task = std::function<void()>;

  explicit PeerThreadPool(std::size_t ThreadCount);
  /// Runs what is queued, then ends the threads.
  ~PeerThreadPool();
  PeerThreadPool(const PeerThreadPool &) = delete;
  auto operator=(const PeerThreadPool &) -> PeerThreadPool & = delete;

  /// Queues \p Added; false if \p Limit tasks are already waiting.
  auto submit(Task Added, std::size_t Limit) -> bool;

private:
  auto run() -> void;

  std::mutex Mutex;
  std::condition_variable Ready;
  std::deque<Task> Tasks;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace jayramp
