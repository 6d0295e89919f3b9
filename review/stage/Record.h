#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace jayramp::review {

/// What was sent, answered and run, one line each with the time since the
/// start in milliseconds.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}

  auto add(const std::string &Line) -> void {
    const std::scoped_lock Lock(Guard);
    File << elapsedMs() << ' ' << Line << '\n' << std::flush;
  }
  auto elapsedMs() const -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - Start)
        .count();
  }

private:
  std::mutex Guard;
  std::ofstream File;
  std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
};

} // namespace jayramp::review
