#include "Scheduling/WaitStatistics.h"

#include "Scheduling/ShardScheduler.h"

#include <algorithm>

namespace jayramp::scheduling {

namespace {

auto addWaits(const JobEntry &Job, TimePoint Now, WaitStatistics &Totals)
    -> void {
  for (std::uint32_t Step = 0; Step < Job.Spec.Steps.size(); ++Step) {
    const auto Tasks = Job.waitingTasks(Step);
    if (Tasks == 0 || !Job.isReady(Step))
      continue;
    auto &Total = Totals[Job.waitReason(Step)];
    Total.Tasks += Tasks;
    if (const auto Since = Job.waitingSince(Step))
      Total.LongestSeconds =
          std::max(Total.LongestSeconds,
                   std::chrono::duration<double>(Now - *Since).count());
  }
}

} // namespace

auto collectWaitStatistics(const ShardScheduler &Scheduler, TimePoint Now)
    -> WaitStatistics {
  WaitStatistics Totals;
  for (const auto &[Id, Job] : Scheduler.jobs())
    if (!isFinal(Job.Progress.State))
      addWaits(Job, Now, Totals);
  return Totals;
}

} // namespace jayramp::scheduling
