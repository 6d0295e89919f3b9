#include "Base/LogRateLimiter.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace jayramp {

namespace {

constexpr Milliseconds Window{1000};
// Up to the first fraction of the limits every line is written, up to the
// second fraction only lines of a quarter of the ids, then only warnings and
// errors.
constexpr double FractionForAllIds = 0.5;
constexpr double FractionForSampledIds = 0.8;
constexpr std::size_t IdsPerSampledId = 4;

/// Returns whether an id belongs to the sample whose lines are written longer.
auto isSampled(std::string_view Id) -> bool {
  return Id.empty() || std::hash<std::string_view>{}(Id) % IdsPerSampledId == 0;
}

} // namespace

auto LogRateLimiter::admit(LogLevel Level, std::string_view Id, TimePoint Now)
    -> bool {
  if (Now - WindowStart >= Window) {
    WindowStart = Now;
    Lines = 0;
    Bytes = 0;
  }
  double Fraction = FractionForAllIds;
  if (Level >= LogLevel::Warning)
    Fraction = 1.0;
  else if (isSampled(Id))
    Fraction = FractionForSampledIds;
  if (usedFraction() < Fraction)
    return true;
  ++DroppedLines;
  return false;
}

auto LogRateLimiter::recordWritten(std::size_t Size) -> void {
  ++Lines;
  Bytes += Size;
}

auto LogRateLimiter::takeDroppedLines(TimePoint Now) -> std::uint64_t {
  if (DroppedLines == 0 || Now - ReportedAt < Window)
    return 0;
  ReportedAt = Now;
  return std::exchange(DroppedLines, 0);
}

auto LogRateLimiter::usedFraction() const -> double {
  return std::max(static_cast<double>(Lines) / Limits.Lines,
                  static_cast<double>(Bytes) / Limits.Bytes);
}

} // namespace jayramp
