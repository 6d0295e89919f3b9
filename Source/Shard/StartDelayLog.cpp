#include "Shard/StartDelayLog.h"

#include "Base/EventLog.h"

namespace jayramp::shard {

namespace {

constexpr Milliseconds FirstReportAfter{1000};
constexpr Milliseconds WarningAfter{3000};
/// Between two lines about the same run.
constexpr Milliseconds RepeatInterval{2000};
/// At most MaxLinesPerWindow lines are logged in each such interval.
constexpr Milliseconds Window{250};
constexpr std::size_t MaxLinesPerWindow = 4;

} // namespace

auto StartDelayLog::isLong(TimePoint PlacedAt, TimePoint Now) -> bool {
  return Now - PlacedAt >= FirstReportAfter;
}

auto StartDelayLog::report(const Delay &Delayed, TimePoint Now) -> void {
  if (!isLong(Delayed.PlacedAt, Now))
    return;
  const auto Known = NextReports.find(Delayed.Run);
  if (Known != NextReports.end() && Now < Known->second)
    return;
  if (!takeLine(Now))
    return;
  NextReports[Delayed.Run] = Now + RepeatInterval;
  const auto Waited =
      std::chrono::duration_cast<Milliseconds>(Now - Delayed.PlacedAt);
  logEvent(Waited >= WarningAfter ? LogLevel::Warning : LogLevel::Info,
           "start-delayed",
           {{"run", toString(Delayed.Run)},
            {"worker", Delayed.Worker},
            {"reason", std::string(toString(Delayed.Reason))},
            {"waited-ms", std::to_string(Waited.count())}});
}

auto StartDelayLog::takeLine(TimePoint Now) -> bool {
  if (Now >= WindowEndsAt) {
    WindowEndsAt = Now + Window;
    LinesInWindow = 0;
    // Later reports of these runs are due anyway.
    std::erase_if(NextReports,
                  [&](const auto &Item) { return Item.second <= Now; });
  }
  return ++LinesInWindow <= MaxLinesPerWindow;
}

} // namespace jayramp::shard
