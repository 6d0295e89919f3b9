#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace jayramp::scheduling {

/// Settings of the placement decisions.
struct SchedulingPolicy {
  /// A gang that should stay in one rack may be spread after this wait, if it
  /// is of the most urgent priority.
  Milliseconds MaxSameRackWait{1800};
  /// How long a worker takes no tasks after several jobs failed there.
  Milliseconds QuarantineDuration{8000};
  /// Failures of different jobs without a success that cause a quarantine.
  std::uint32_t QuarantineFailures = 2;
  /// How long a worker that refused a start gets no other task.
  Milliseconds StartRefusalBackoff{500};
  /// Work may be thrown away for an urgent task up to this multiple of the work
  /// that the task itself does.
  double MaxPreemptionCostRatio = 4.0;
  /// After this wait, guaranteed work is given room at any loss.
  Milliseconds GuaranteeReclaimDelay{1200};
  /// Urgent arrivals of this time tell how much room is kept free for the next
  /// ones.
  Milliseconds ArrivalWindow{3000};
  /// Room for arrivals of this time is kept free of less urgent work.
  Milliseconds ReserveHorizon{6000};
  /// Largest part of all accelerators that is kept free.
  double MaxReserveFraction = 0.6;
  /// A less urgent job uses the reserve once it has waited for this part of its
  /// latency objective.
  double ReserveWaitFraction = 0.5;
  /// A draining worker's task is moved if it would end less than this before
  /// the worker leaves.
  Milliseconds DrainSafetyMargin{300};
  /// A task without any progress for this long is restarted elsewhere.
  Milliseconds StallTimeout{2200};
  /// A member of a gang without any progress for this long is restarted if the
  /// others go on.
  Milliseconds GangMemberStallTimeout{230};
  /// A member whose start is not confirmed this long after the others' is given
  /// up.
  Milliseconds GangMemberStartTimeout{700};
  /// Most of the others are ahead of it by this much.
  std::uint32_t StalledMemberLagPercent = 15;
  /// A task may be longer than others of its step by this factor.
  double MaxTaskDurationFactor = 10.0;
  /// Runs of urgent gangs are looked at often for this long.
  Milliseconds HighPollRateDuration{1000};
};

} // namespace jayramp::scheduling
