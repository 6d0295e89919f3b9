#include "Jobs/WaitReason.h"

namespace jayramp {

auto toString(WaitReason Reason) -> std::string_view {
  switch (Reason) {
  case WaitReason::None:
    return "NONE";
  case WaitReason::WaitingForCapacity:
    return "WAITING_FOR_CAPACITY";
  case WaitReason::WaitingForAdjacentCapacity:
    return "WAITING_FOR_ADJACENT_CAPACITY";
  case WaitReason::WouldBreakGuarantee:
    return "WOULD_BREAK_GUARANTEE";
  case WaitReason::OverQuota:
    return "OVER_QUOTA";
  case WaitReason::Reclaiming:
    return "RECLAIMING";
  case WaitReason::CanNeverRun:
    return "CAN_NEVER_RUN";
  case WaitReason::FailedOnDistinctWorkers:
    return "FAILED_ON_DISTINCT_WORKERS";
  case WaitReason::WorkerFailed:
    return "WORKER_FAILED";
  case WaitReason::MemberLost:
    return "MEMBER_LOST";
  case WaitReason::Cancelled:
    return "CANCELLED";
  }
  return "NONE";
}

} // namespace jayramp
