#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// Writes what was sent, answered and run to a file, one line each, with the
/// time in ms since the record was opened.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}

  auto elapsedMs() const -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - Start)
        .count();
  }

  auto write(const std::string &Line) -> void {
    std::lock_guard Lock(Mutex);
    File << elapsedMs() << " ms  " << Line << std::endl;
  }

private:
  std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  std::mutex Mutex; ///< Guards File.
  std::ofstream File;
};

} // namespace review
