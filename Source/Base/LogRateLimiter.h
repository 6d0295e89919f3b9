#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jayramp {

enum class LogLevel { Debug, Info, Warning, Error };

/// Most output of the log in one second.
struct LogLimits {
  std::uint32_t Lines = 2000;
  std::uint32_t Bytes = 512U << 10U;

  auto operator==(const LogLimits &) const -> bool = default;
};

/// Chooses the lines that are written while more events happen than the limits
/// allow. Lines about one id are kept or left out together: a fixed part of all
/// ids is written for longer. Warnings and errors are written longest.
class LogRateLimiter {
public:
  explicit LogRateLimiter(LogLimits Limits) : Limits(Limits) {}

  /// Whether to write a line about \p Id, which is empty for events of the
  /// process itself. A line that is left out is counted.
  auto admit(LogLevel Level, std::string_view Id, TimePoint Now) -> bool;
  /// A line of \p Bytes was written.
  auto recordWritten(std::size_t Bytes) -> void;
  /// Lines left out since the last call, once a second at most.
  auto takeDroppedLines(TimePoint Now) -> std::uint64_t;

private:
  auto usedPart() const -> double;

  LogLimits Limits;
  TimePoint WindowStart;
  std::uint64_t Lines = 0; ///< Written in this window.
  std::uint64_t Bytes = 0;
  std::uint64_t LeftOut = 0;
  TimePoint ReportedAt;
};

} // namespace jayramp
