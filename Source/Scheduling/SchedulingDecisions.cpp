#include "Scheduling/SchedulingDecisions.h"

namespace jayramp::scheduling {

auto toString(StopReason Reason) -> std::string_view {
  switch (Reason) {
  case StopReason::Preempted:
    return "preempted";
  case StopReason::Stalled:
    return "stalled";
  case StopReason::GangBroken:
    return "gang-broken";
  case StopReason::WorkerLeaves:
    return "worker-leaves";
  case StopReason::ZoneClosed:
    return "zone-closed";
  case StopReason::JobFinal:
    return "job-final";
  case StopReason::StartRefused:
    return "start-refused";
  case StopReason::TaskDone:
    return "task-done";
  }
  return "unknown";
}

auto toString(SpeedChoice Choice) -> std::string_view {
  switch (Choice) {
  case SpeedChoice::Deadline:
    return "deadline";
  case SpeedChoice::Slack:
    return "slack";
  case SpeedChoice::Late:
    return "late";
  }
  return "unknown";
}

} // namespace jayramp::scheduling
