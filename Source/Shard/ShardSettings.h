#pragma once

#include "Base/Clock.h"
#include "Scheduling/RunPollRate.h"

#include <algorithm>
#include <optional>

namespace jayramp::shard {

/// Timeouts and intervals of a shard's owner and of the hosts that may take the
/// shard over.
struct ShardSettings {
  /// Duration of the lease that each start and each renewal grants.
  Milliseconds LeaseDuration{5000};
  /// Workers shorten longer leases to this.
  Milliseconds MaxLeaseDuration{10000};
  /// An owner whose last confirmed write is older than this grants and renews
  /// no leases, so that a successor knows when all leases have expired.
  Milliseconds OwnershipTimeout{4000};
  /// Time for which a worker delays the reply to a lease renewal until a run
  /// ends.
  Milliseconds RenewWait{1000};
  /// The same while a run on the worker needs RunPollRate::Elevated or
  /// RunPollRate::High.
  Milliseconds ElevatedRenewWait{500};
  Milliseconds HighRenewWait{200};
  /// Returns the wait of a renewal if \p PollRate is the highest poll rate that
  /// a run on the worker needs.
  auto renewWaitFor(scheduling::RunPollRate PollRate) const -> Milliseconds {
    switch (PollRate) {
    case scheduling::RunPollRate::Normal:
      return RenewWait;
    case scheduling::RunPollRate::Elevated:
      return ElevatedRenewWait;
    case scheduling::RunPollRate::High:
      return HighRenewWait;
    }
    return RenewWait;
  }
  /// No run is started with the shortest timeout while the list of workers is
  /// older than this, because a worker may have begun to drain since, and must
  /// get no new runs then. The limit is lower by what a timeout is longer.
  Milliseconds MaxWorkerListAge{1600};
  /// No run is started while the set of closed availability zones is older than
  /// this, because a zone may have been closed since. Absent if the deployment
  /// has no limit.
  std::optional<Milliseconds> MaxClosedZonesAge;
  /// The registry does not let a worker's entry expire earlier than this after
  /// the worker has written it. If an entry is removed earlier, the worker has
  /// left.
  Milliseconds MinEntryLifetime{3000};
  /// Shortest timeout of an order; longer if workers take longer to answer.
  Milliseconds OrderTimeout{400};
  /// Later starts of a run have longer timeouts. No order has more than this
  /// multiple.
  unsigned MaxStartTimeoutFactor = 3;
  /// Returns the shortest timeout of a start; \p Attempt counts the starts of
  /// the run, from 1.
  auto startTimeout(unsigned Attempt) const -> Milliseconds {
    return OrderTimeout *
           static_cast<int>(std::min(Attempt, MaxStartTimeoutFactor));
  }
  auto longestStartTimeout() const -> Milliseconds {
    return startTimeout(MaxStartTimeoutFactor);
  }
  /// A run is taken back from a worker that answers if a start fails this long
  /// after the first attempt. Leaves time for three starts without an answer,
  /// the last of which ends before a job may count as standing still (3 s).
  Milliseconds MaxStartTime{2000};
  /// Added to a renewal's wait to get its timeout; longer if workers take
  /// longer to answer.
  Milliseconds RenewReplyMargin{600};
  Milliseconds RetryDelay{100};
  Milliseconds HeartbeatInterval{250};
  /// Time without a heartbeat of the owner after which another host takes the
  /// shard over.
  Milliseconds TakeoverTimeout{900};
  Milliseconds StoreTimeout{1200};
  /// Time for which the state of a final job can be read.
  Milliseconds FinalJobRetention{180000};
  /// Time for which a shard is kept that has no jobs and whose service is not
  /// configured. Hosts with an older configuration may accept jobs until then.
  Milliseconds UnusedShardRetention{60000};
  /// The owner of such a shard keeps it longer by this than the other hosts,
  /// which would take it over.
  Milliseconds OwnerLeaveDelay{5000};
};

} // namespace jayramp::shard
