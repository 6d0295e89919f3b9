#pragma once

#include "Stage.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace jayramp::review {

/// Does to the entry hosts of a stage what the platform does: kills a process
/// that exceeds the memory of its machine, and starts it again after a short
/// delay.
class MemoryWatch {
public:
  explicit MemoryWatch(Stage &Scene);
  ~MemoryWatch();
  MemoryWatch(const MemoryWatch &) = delete;
  auto operator=(const MemoryWatch &) -> MemoryWatch & = delete;

  auto stop() -> void;
  /// Returns whether the processes of two hosts have ended three times each.
  auto isFault() const -> bool;
  /// Returns the ends and the highest use of memory by host. Needs stop()
  /// first.
  auto summary() const -> std::string;

private:
  auto check(std::size_t Number) -> void;

  Stage &Scene;
  std::atomic<bool> Stopped{false};
  std::atomic<int> FaultyHosts{0};
  std::vector<int> Ends;
  std::vector<long> Peak;
  std::thread Watcher;
};

} // namespace jayramp::review
