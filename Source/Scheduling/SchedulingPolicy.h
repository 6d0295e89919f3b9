#pragma once

#include "Base/Clock.h"
#include "Scheduling/RetryBackoff.h"

#include <cstdint>

namespace jayramp::scheduling {

/// Parameters of the scheduling decisions. "Most urgent" means priority 0.
struct SchedulingPolicy {
  /// A gang that should stay in one rack may be spread over several racks after
  /// waiting this long if it is of the most urgent priority or the pool is
  /// idle.
  Milliseconds MaxSameRackWait{1800};
  /// The same for less urgent gangs on a busy pool.
  Milliseconds MaxSameRackWaitOnBusyPool{20000};
  /// A pool is idle if less than this share of its capacity is in use.
  double IdlePoolUse = 0.5;
  /// How long a worker gets no tasks after jobs failed or stalled on it.
  Milliseconds QuarantineDuration{8000};
  /// Once tasks have waited this long beside an idle pool, quarantined workers
  /// are used: jobs that fail or stall everywhere may keep most of it in
  /// quarantine. Only on a busy pool are others served better by the wait.
  /// Besides, other tasks leave the workers with a label to those that need it.
  Milliseconds MaxWaitBesideIdlePool{1500};
  /// Number of different jobs that must fail on a worker, without a success in
  /// between, before it is quarantined.
  std::uint32_t QuarantineFailures = 2;
  /// How long a worker that refused a start gets no other task.
  Milliseconds StartRefusalBackoff{500};
  /// Delay before a task is placed again whose run ended without ever being
  /// sent to its worker, and before the worker gets tasks again if it caused
  /// that. It doubles with each such end in a row.
  RetryBackoff::Limits UnsentRunDelay{Milliseconds{20}, Milliseconds{1000}};
  /// Work that may be lost by preemption for a job of the most urgent priority,
  /// as a multiple of the work that the job itself does.
  double MaxPreemptionCostRatio = 4.0;
  /// After a search found no runs that a job may preempt, none is made for the
  /// job for this time, so that the searches of many waiting jobs take turns.
  Milliseconds PreemptionSearchInterval{200};
  /// A job within the guarantee of its client account may preempt other work
  /// regardless of the loss after waiting this long.
  Milliseconds GuaranteeReclaimDelay{1200};
  /// Tasks of the most urgent priority wait at most this long for workers on
  /// which they end in time while slower ones have room.
  Milliseconds MaxSpeedWait{1500};
  /// Tasks of the most urgent priority leave faster workers to others only if
  /// they could take this many times as long as expected.
  double UrgentSlackFactor = 1.6;
  /// Expected time from the decision to stop a run until its resources are
  /// free.
  Milliseconds ExpectedStopTime{400};
  /// Period over which arrivals of the most urgent jobs are counted to size the
  /// reserve for further ones.
  Milliseconds ArrivalWindow{3000};
  /// The reserve holds the arrivals that are expected in this time.
  Milliseconds ReserveHorizon{6000};
  /// Largest fraction of all accelerators that the reserve keeps free.
  double MaxReserveFraction = 0.6;
  /// A less urgent job may use the reserve after waiting this fraction of its
  /// latency objective.
  double ReserveWaitFraction = 0.5;
  /// The same at the latest after waiting this long: the objective depends on
  /// the caller's estimate, which may be far too long.
  Milliseconds MaxReserveWait{15000};
  /// Time constant with which the past use of a client account loses weight
  /// where accounts compete for room.
  Milliseconds AccountUseHorizon{30000};
  /// Room is gathered for a less urgent gang after it has waited this fraction
  /// of its latency objective.
  double GangRoomWaitFraction = 0.5;
  /// Room is held for a gang at most for this fraction of its latency
  /// objective.
  double GangRoomHoldFraction = 0.25;
  /// The same in any case: other jobs wait for that room.
  Milliseconds MaxGangRoomHold{3000};
  /// Largest fraction of a pool that is held for gangs.
  double MaxGangRoomFraction = 0.3;
  /// A task on a draining worker is moved unless it is expected to end at least
  /// this long before the worker leaves.
  Milliseconds DrainSafetyMargin{300};
  /// A run without any progress for this long is restarted elsewhere.
  Milliseconds StallTimeout{2200};
  /// A member of a gang without any progress for this long is restarted if the
  /// other members make progress.
  Milliseconds GangMemberStallTimeout{230};
  /// A member of a gang is restarted elsewhere if its start is not confirmed
  /// this much later after the latest start of the others than a worker may
  /// take to answer.
  Milliseconds GangMemberStartMargin{300};
  /// A member of a gang counts as behind the others only if at least half of
  /// them are ahead of it by this much.
  std::uint32_t StalledMemberLagPercent = 15;
  /// A task may take this many times as long as the other tasks of its step
  /// without being regarded as stalled.
  double MaxTaskDurationFactor = 10.0;
  /// How long the runs of a gang of the most urgent priority are polled at the
  /// high rate after they were assigned.
  Milliseconds HighPollRateDuration{1000};
};

} // namespace jayramp::scheduling
