#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace jayramp {

/// Writes lines to a descriptor without ever waiting for its reader. A line
/// that the descriptor does not take at once is lost and counted.
class LogOutput {
public:
  explicit LogOutput(int Descriptor) : Descriptor(Descriptor) {}

  /// Longer lines are cut: a pipe that is ready takes as much in one piece.
  static constexpr std::size_t MaxLineBytes = 4096;

  /// Writes \p Line with its line end; false if it was lost.
  auto write(std::string_view Line) -> bool;
  /// Lines lost since the last call; 0 while the reader still takes none.
  auto takeLostLines() -> std::uint64_t {
    return LastWasLost ? 0 : std::exchange(Lost, 0);
  }

private:
  int Descriptor;
  std::uint64_t Lost = 0;
  bool LastWasLost = false;
};

} // namespace jayramp
