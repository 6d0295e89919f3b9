#pragma once

#include <string_view>

namespace jayramp::shard {

/// Why a run that has been placed is not known to have started.
enum class StartDelayReason {
  PredecessorLeases, ///< The worker of a recovered run does not answer; leases
                     ///< of an earlier owner may be valid.
  RunsUnknown,       ///< The worker has not listed its runs to this owner yet.
  WorkerNotAnswering,
  StartRejected,   ///< The worker rejected a start, which is sent again.
  NotDurable,      ///< The placement is not stored yet.
  WorkerListOld,   ///< The list of workers may lack a drain notice.
  ClosedZonesOld,  ///< An availability zone may have been closed since.
  LeaseNotGranted, ///< The owner's last confirmed write is too old.
  ClockUnknown,    ///< No reading of the worker's clock is known.
};

/// Returns the name of \p Reason in logs and metrics.
auto toString(StartDelayReason Reason) -> std::string_view;

} // namespace jayramp::shard
