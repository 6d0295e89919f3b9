#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jayramp {

enum class LogLevel { Debug, Info, Warning, Error };

/// Largest amount of log output in one second.
struct LogLimits {
  std::uint32_t Lines = 2000;
  std::uint32_t Bytes = 512U << 10U;

  auto operator==(const LogLimits &) const -> bool = default;
};

/// Decides which lines are dropped while events exceed the limits. The lines
/// about one id are kept or dropped together: as the output approaches a limit,
/// only lines about a fixed sample of the ids are kept, then only warnings and
/// errors. Not thread-safe.
class LogRateLimiter {
public:
  explicit LogRateLimiter(LogLimits Limits) : Limits(Limits) {}

  /// Returns whether to write a line about \p Id, which is empty for events of
  /// the process itself. Counts the line as dropped if it returns false.
  auto admit(LogLevel Level, std::string_view Id, TimePoint Now) -> bool;
  /// Counts a line of \p Size bytes as written.
  auto recordWritten(std::size_t Size) -> void;
  /// Returns the number of lines dropped since the last call that returned a
  /// number above 0; 0 if that call was less than a second ago.
  auto takeDroppedLines(TimePoint Now) -> std::uint64_t;

private:
  /// Returns the used fraction of the limit that is closer to being reached.
  auto usedFraction() const -> double;

  LogLimits Limits;
  TimePoint WindowStart;
  std::uint64_t Lines = 0; ///< Lines written in the current one-second window.
  std::uint64_t Bytes = 0; ///< Bytes written in the current window.
  std::uint64_t DroppedLines = 0;
  TimePoint ReportedAt;
};

} // namespace jayramp
