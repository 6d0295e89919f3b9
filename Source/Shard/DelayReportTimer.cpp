#include "Shard/DelayReportTimer.h"

namespace jayramp::shard {

auto DelayReportTimer::takeDue(TimePoint Since, TimePoint Now) -> bool {
  if (Now - Since < Threshold || Now < NextReport)
    return false;
  NextReport = Now + RepeatInterval;
  return true;
}

} // namespace jayramp::shard
