#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace jayramp {

/// Writes lines to a file descriptor without ever blocking. A line that the
/// descriptor does not accept at once is lost and counted.
class LogOutput {
public:
  explicit LogOutput(int Descriptor) : Descriptor(Descriptor) {}

  /// Longer lines are truncated to this size, which a pipe that is ready for
  /// writing accepts in one write without blocking.
  static constexpr std::size_t MaxLineBytes = 4096;

  /// Writes \p Line, which includes its line end. Returns false if it was lost.
  auto write(std::string_view Line) -> bool;
  /// Returns the number of lines lost since the last call, or 0 if the latest
  /// line was lost: a report would be lost as well.
  auto takeLostLines() -> std::uint64_t {
    return LastLineWasLost ? 0 : std::exchange(LostLines, 0);
  }

private:
  int Descriptor;
  std::uint64_t LostLines = 0;
  bool LastLineWasLost = false;
};

} // namespace jayramp
