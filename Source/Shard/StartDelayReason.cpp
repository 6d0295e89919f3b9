#include "Shard/StartDelayReason.h"

namespace jayramp::shard {

auto toString(StartDelayReason Reason) -> std::string_view {
  switch (Reason) {
  case StartDelayReason::PredecessorLeases:
    return "predecessor-leases";
  case StartDelayReason::RunsUnknown:
    return "runs-unknown";
  case StartDelayReason::WorkerNotAnswering:
    return "worker-not-answering";
  case StartDelayReason::StartRejected:
    return "start-rejected";
  case StartDelayReason::NotDurable:
    return "not-durable";
  case StartDelayReason::WorkerListOld:
    return "worker-list-old";
  case StartDelayReason::ClosedZonesOld:
    return "closed-zones-old";
  case StartDelayReason::LeaseNotGranted:
    return "lease-not-granted";
  case StartDelayReason::ClockUnknown:
    return "clock-unknown";
  }
  return "unknown";
}

} // namespace jayramp::shard
