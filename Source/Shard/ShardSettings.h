#pragma once

#include "Base/Clock.h"
#include "Scheduling/RunPollRate.h"

namespace jayramp::shard {

/// Times of the owner of a shard.
struct ShardSettings {
  /// Lease that runs get with each start and hold.
  Milliseconds Lease{5000};
  /// An owner that could not renew its ownership for this long holds no leases
  /// any more, so that a successor knows when they have run out.
  Milliseconds GrantLimit{4000};
  /// How long a worker waits for an end before it answers a hold.
  Milliseconds HoldWait{1000};
  /// The same while a run there needs a near or a close watch.
  Milliseconds NearHoldWait{500};
  Milliseconds CloseHoldWait{200};
  auto holdWaitFor(scheduling::RunPollRate Watch) const -> Milliseconds {
    switch (Watch) {
    case scheduling::RunPollRate::Normal:
      return HoldWait;
    case scheduling::RunPollRate::Elevated:
      return NearHoldWait;
    case scheduling::RunPollRate::High:
      return CloseHoldWait;
    }
    return HoldWait;
  }
  /// Nothing is started while the list of workers is older: a worker that is
  /// missing from it as draining must not be sent new work.
  Milliseconds MaxWorkerListAge{1600};
  Milliseconds OrderTimeout{400};
  Milliseconds HoldSlack{600};
  Milliseconds RetryDelay{100};
  Milliseconds HeartbeatInterval{250};
  /// Silence after which another host takes the shard.
  Milliseconds TakeoverAfter{900};
  Milliseconds StoreTimeout{1200};
  /// How long a final job's state can be read.
  Milliseconds KeepFinalJobs{180000};
};

} // namespace jayramp::shard
