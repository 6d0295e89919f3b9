#include "Jobs/WaitExplanation.h"

#include "Jobs/SchedulerState.h"

#include <string>

namespace jayramp {

auto explainWait(const SchedulerState &State, const JobRecord &Job)
    -> WaitReport {
  const auto &Specification = Job.Specification;
  const auto Size = std::to_string(Specification.Accelerators);
  const auto Free = std::to_string(State.Pool.freeCount());
  WaitReport Report{Job.CurrentWaitReason, {}, {}};
  switch (Job.CurrentWaitReason) {
  case WaitReason::None:
    return Report;
  case WaitReason::WaitingForCapacity:
    Report.Detail = "needs " + Size + " accelerators, " + Free + " are free";
    Report.Remedy =
        "wait for running jobs to end, or request fewer accelerators";
    break;
  case WaitReason::WaitingForAdjacentCapacity:
    Report.Detail = "needs " + Size + " adjacent accelerators; " + Free +
                    " are free, the largest adjacent gang that fits is " +
                    std::to_string(State.largestFreeBlockSize());
    Report.Remedy =
        "wait, request fewer accelerators, or do not require adjacent ones";
    break;
  case WaitReason::WouldBreakGuarantee:
    Report.Detail = "needs " + Size +
                    " accelerators, more than the unused part of the account's "
                    "guarantee, so it may not reclaim surplus gangs, and " +
                    Free + " are free";
    Report.Remedy = "wait for the account's jobs to end, or ask an operator "
                    "for a larger guarantee";
    break;
  case WaitReason::OverQuota:
    Report.Detail =
        "the account holds " +
        std::to_string(State.heldAccelerators(Specification.Account)) +
        " accelerators, and " + Size + " more would exceed its quota";
    Report.Remedy = "wait for the account's jobs to end or cancel some, or "
                    "ask an operator for a higher quota";
    break;
  case WaitReason::Reclaiming:
    Report.Detail = Job.Phase == JobPhase::Stopping
                        ? "is being stopped for a job with a higher claim to "
                          "its accelerators"
                        : "has reserved accelerators, on which surplus gangs "
                          "are being stopped";
    Report.Remedy = "none needed; the job starts by itself";
    break;
  default:
    Report.Detail = "the current attempt is being stopped";
    Report.Remedy =
        "none needed; the outcome is reported when the attempt has stopped";
    break;
  }
  for (const auto &Degraded : State.Plan.degradedGuarantees())
    if (Degraded.Account == Specification.Account &&
        Specification.Priority != JobPriority::Surplus)
      Report.Detail += "; the account's guarantee is degraded: " +
                       std::to_string(Degraded.Count) + " shape(s) of " +
                       std::to_string(Degraded.Accelerators) +
                       " do not fit on the live workers";
  return Report;
}

} // namespace jayramp
