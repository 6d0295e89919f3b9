#include "Jobs/WaitExplanation.h"

#include "Jobs/SchedulerState.h"

#include <string>

namespace jayramp {

auto explainWait(const SchedulerState &State, const JobRecord &Job)
    -> WaitReport {
  const auto &Wanted = Job.Specification;
  const auto Size = std::to_string(Wanted.Accelerators);
  const auto Free = std::to_string(State.Pool.freeCount());
  WaitReport Report{Job.CurrentWaitReason, {}, {}};
  switch (Job.CurrentWaitReason) {
  case WaitReason::None:
    return Report;
  case WaitReason::WaitingForCapacity:
    Report.Detail = "needs " + Size + " accelerators, " + Free + " are free";
    Report.Remedy = "wait for running jobs to end, or ask for fewer";
    break;
  case WaitReason::WaitingForAdjacentCapacity:
    Report.Detail = "needs " + Size + " adjacent accelerators; " + Free +
                    " are free, the largest adjacent gang that fits is " +
                    std::to_string(State.largestFreeBlock());
    Report.Remedy = "wait, ask for fewer, or not for adjacent ones";
    break;
  case WaitReason::WouldBreakGuarantee:
    Report.Detail = "needs " + Size +
                    " accelerators beyond what is unused of the account's "
                    "guarantee, so it may not reclaim surplus, and " +
                    Free + " are free";
    Report.Remedy = "wait for the account's jobs to end, or ask an operator "
                    "for a larger guarantee";
    break;
  case WaitReason::OverQuota:
    Report.Detail = "the account holds " +
                    std::to_string(State.holdings(Wanted.Account)) +
                    " accelerators, " + Size + " more exceed its quota";
    Report.Remedy = "wait for the account's jobs to end or cancel some, or "
                    "ask an operator for a higher quota";
    break;
  case WaitReason::Reclaiming:
    Report.Detail = Job.Phase == JobPhase::Stopping
                        ? "is stopped for a job with a better claim"
                        : "has places, surplus gangs on them are stopping";
    Report.Remedy = "none needed; it starts by itself";
    break;
  default:
    Report.Detail = "the current attempt is being stopped";
    Report.Remedy = "none needed; the outcome follows";
    break;
  }
  for (const auto &Degraded : State.Plan.degraded())
    if (Degraded.Account == Wanted.Account &&
        Wanted.Priority != JobPriority::Surplus)
      Report.Detail += "; the account's guarantee is degraded: " +
                       std::to_string(Degraded.Count) + " shape(s) of " +
                       std::to_string(Degraded.Accelerators) +
                       " do not fit on the live workers";
  return Report;
}

} // namespace jayramp
