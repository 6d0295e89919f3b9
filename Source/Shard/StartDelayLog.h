#pragma once

#include "Base/Clock.h"
#include "Scheduling/RunId.h"
#include "Shard/StartDelayReason.h"

#include <cstddef>
#include <map>
#include <string>

namespace jayramp::shard {

/// Logs which runs of a shard have been placed but not started for long, and
/// why. Limits the number of lines for each run and for the whole shard.
class StartDelayLog {
public:
  /// A run that is not known to have started.
  struct Delay {
    scheduling::RunId Run;
    std::string Worker;
    StartDelayReason Reason = StartDelayReason::NotDurable;
    TimePoint PlacedAt;
  };

  /// Returns true if a run that was placed at \p PlacedAt has waited for long
  /// enough to be reported.
  static auto isLong(TimePoint PlacedAt, TimePoint Now) -> bool;
  /// Logs a delay that is long, if a line is due.
  auto report(const Delay &Delayed, TimePoint Now) -> void;

private:
  /// Returns whether the limit of the whole shard permits a line, and counts
  /// it.
  auto takeLine(TimePoint Now) -> bool;

  std::map<scheduling::RunId, TimePoint> NextReports;
  TimePoint WindowEndsAt;
  std::size_t LinesInWindow = 0;
};

} // namespace jayramp::shard
