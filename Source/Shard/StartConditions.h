#pragma once

#include "Shard/StartDelayReason.h"

#include <optional>

namespace jayramp::shard {

/// What the start of a run depends on. A run that meets all conditions is
/// started at once.
struct StartConditions {
  bool RunsKnown = true; ///< Or the run was not recovered.
  bool WorkerAnswers = true;
  bool AnswerPending = false; ///< A start was sent and not answered yet.
  bool RetryDue = true;       ///< No delay after an earlier start is left.
  bool Durable = true;
  bool WorkerListFresh = true;
  bool ClosedZonesFresh = true;
  bool LeasesPermitted = true; ///< The owner may grant leases.
  bool ClockKnown = true;

  /// Returns the first condition that is not met; none if all are.
  auto delayReason() const -> std::optional<StartDelayReason>;
  auto operator==(const StartConditions &) const -> bool = default;
};

} // namespace jayramp::shard
