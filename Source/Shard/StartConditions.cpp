#include "Shard/StartConditions.h"

namespace jayramp::shard {

auto StartConditions::delayReason() const -> std::optional<StartDelayReason> {
  if (!RunsKnown)
    return WorkerAnswers ? StartDelayReason::RunsUnknown
                         : StartDelayReason::PredecessorLeases;
  if (!WorkerAnswers || AnswerPending)
    return StartDelayReason::WorkerNotAnswering;
  if (!RetryDue)
    return StartDelayReason::StartRejected;
  if (!Durable)
    return StartDelayReason::NotDurable;
  if (!WorkerListFresh)
    return StartDelayReason::WorkerListOld;
  if (!ClosedZonesFresh)
    return StartDelayReason::ClosedZonesOld;
  if (!LeasesPermitted)
    return StartDelayReason::LeaseNotGranted;
  if (!ClockKnown)
    return StartDelayReason::ClockUnknown;
  return std::nullopt;
}

} // namespace jayramp::shard
