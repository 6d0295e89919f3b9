#pragma once

#include "Base/Clock.h"

namespace jayramp::shard {

/// Decides when a delay that goes on is logged: once it has lasted for a
/// threshold, and then at a fixed interval.
class DelayReportTimer {
public:
  DelayReportTimer(Milliseconds Threshold, Milliseconds RepeatInterval)
      : Threshold(Threshold), RepeatInterval(RepeatInterval) {}

  /// Returns true if a delay that began at \p Since is to be logged now, and
  /// counts it as logged.
  auto takeDue(TimePoint Since, TimePoint Now) -> bool;

private:
  Milliseconds Threshold;
  Milliseconds RepeatInterval;
  TimePoint NextReport;
};

} // namespace jayramp::shard
