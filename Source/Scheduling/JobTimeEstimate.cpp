#include "Scheduling/JobTimeEstimate.h"

#include "Scheduling/JobEntry.h"
#include "Scheduling/RunTimeModel.h"

#include <algorithm>

namespace jayramp::scheduling {

JobTimeEstimate::JobTimeEstimate(const JobEntry &Job,
                                 const RunTimeModel &RunTimes) {
  const auto &Steps = Job.Spec.Steps;
  const auto Count = static_cast<std::uint32_t>(Steps.size());
  TaskTimes.assign(Count, Milliseconds(0));
  for (std::uint32_t Step = 0; Step < Count; ++Step)
    if (!Job.isDone(Step))
      TaskTimes[Step] = RunTimes.expectedTime(Job, Step);
  // A step depends only on earlier ones, so each is complete when its turn
  // comes from the end.
  TimesToEnd.assign(Count, Milliseconds(0));
  for (auto Step = Count; Step-- > 0;) {
    TimesToEnd[Step] += TaskTimes[Step];
    for (const auto Predecessor : Steps[Step].After)
      TimesToEnd[Predecessor] =
          std::max(TimesToEnd[Predecessor], TimesToEnd[Step]);
  }
}

auto JobTimeEstimate::total() const -> Milliseconds {
  return *std::max_element(TimesToEnd.begin(), TimesToEnd.end());
}

} // namespace jayramp::scheduling
