#include "Scheduling/WaitReason.h"

namespace jayramp::scheduling {

auto toString(WaitReason Reason) -> std::string_view {
  switch (Reason) {
  case WaitReason::Room:
    return "room";
  case WaitReason::Rack:
    return "rack";
  case WaitReason::Reserve:
    return "reserve";
  case WaitReason::Speed:
    return "speed";
  case WaitReason::GangRoom:
    return "gang-room";
  case WaitReason::Quarantine:
    return "quarantine";
  case WaitReason::Unreachable:
    return "unreachable";
  case WaitReason::ClosedZone:
    return "closed-zone";
  case WaitReason::NoWorker:
    return "no-worker";
  case WaitReason::EarlierRuns:
    return "earlier-runs";
  case WaitReason::Backoff:
    return "backoff";
  case WaitReason::OnHold:
    return "on-hold";
  }
  return "unknown";
}

auto isBesideRoom(WaitReason Reason) -> bool {
  switch (Reason) {
  case WaitReason::Rack:
  case WaitReason::Reserve:
  case WaitReason::Speed:
  case WaitReason::GangRoom:
  case WaitReason::Quarantine:
  case WaitReason::Unreachable:
  case WaitReason::Backoff:
    return true;
  case WaitReason::Room:
  case WaitReason::ClosedZone:
  case WaitReason::NoWorker:
  case WaitReason::EarlierRuns:
  case WaitReason::OnHold:
    return false;
  }
  return false;
}

} // namespace jayramp::scheduling
