#pragma once

#include "Base/Clock.h"
#include "Scheduling/RunPollRate.h"

namespace jayramp::shard {

/// Times of the owner of a shard.
struct ShardSettings {
  /// Lease that runs get with each start and hold.
  Milliseconds LeaseDuration{5000};
  /// An owner that could not renew its ownership for this long holds no leases
  /// any more, so that a successor knows when they have run out.
  Milliseconds OwnershipTimeout{4000};
  /// How long a worker waits for an end before it answers a hold.
  Milliseconds RenewWait{1000};
  /// The same while a run there needs a near or a close watch.
  Milliseconds NearRenewWait{500};
  Milliseconds CloseRenewWait{200};
  auto renewWaitFor(scheduling::RunPollRate Watch) const -> Milliseconds {
    switch (Watch) {
    case scheduling::RunPollRate::Normal:
      return RenewWait;
    case scheduling::RunPollRate::Elevated:
      return NearRenewWait;
    case scheduling::RunPollRate::High:
      return CloseRenewWait;
    }
    return RenewWait;
  }
  /// Nothing is started while the list of workers is older: a worker that is
  /// missing from it as draining must not be sent new work.
  Milliseconds MaxWorkerListAge{1600};
  Milliseconds OrderTimeout{400};
  Milliseconds RenewReplyMargin{600};
  Milliseconds RetryDelay{100};
  Milliseconds HeartbeatInterval{250};
  /// Silence after which another host takes the shard.
  Milliseconds TakeoverTimeout{900};
  Milliseconds StoreTimeout{1200};
  /// How long a final job's state can be read.
  Milliseconds FinalJobRetention{180000};
};

} // namespace jayramp::shard
