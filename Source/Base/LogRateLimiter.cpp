#include "Base/LogRateLimiter.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace jayramp {

namespace {

constexpr Milliseconds Window{1000};
// Up to the first part of the budget every line is written, up to the second
// those of a quarter of the ids, then only warnings and errors.
constexpr double PartForAll = 0.5;
constexpr double PartForKeptIds = 0.8;
constexpr std::size_t IdsPerKeptId = 4;

auto isKept(std::string_view Id) -> bool {
  return Id.empty() || std::hash<std::string_view>{}(Id) % IdsPerKeptId == 0;
}

} // namespace

auto LogRateLimiter::admit(LogLevel Level, std::string_view Id, TimePoint Now)
    -> bool {
  if (Now - WindowStart >= Window) {
    WindowStart = Now;
    Lines = 0;
    Bytes = 0;
  }
  double Part = PartForAll;
  if (Level >= LogLevel::Warning)
    Part = 1.0;
  else if (isKept(Id))
    Part = PartForKeptIds;
  if (usedPart() < Part)
    return true;
  ++LeftOut;
  return false;
}

auto LogRateLimiter::recordWritten(std::size_t Size) -> void {
  ++Lines;
  Bytes += Size;
}

auto LogRateLimiter::takeDroppedLines(TimePoint Now) -> std::uint64_t {
  if (LeftOut == 0 || Now - ReportedAt < Window)
    return 0;
  ReportedAt = Now;
  return std::exchange(LeftOut, 0);
}

auto LogRateLimiter::usedPart() const -> double {
  return std::max(static_cast<double>(Lines) / Limits.Lines,
                  static_cast<double>(Bytes) / Limits.Bytes);
}

} // namespace jayramp
