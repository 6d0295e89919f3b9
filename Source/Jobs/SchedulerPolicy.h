#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace jayramp {

/// Rule by which one of several blocks that fit a gang is chosen.
enum class PlacementRule {
  SmallestBlock, ///< Smallest block that fits; keeps large blocks free.
  FirstFit,      ///< Block with the lowest position; a baseline for comparison.
};

/// Rules and limits of the job scheduler.
struct SchedulerPolicy {
  PlacementRule Rule = PlacementRule::SmallestBlock;
  /// Wait after which a blocked surplus job at the head of the queue may
  /// reclaim gangs of younger jobs that started after this wait had passed.
  /// Keeps a stream of small jobs from starving a large one.
  Milliseconds StarvationTimeout{10 * 60 * 1000};
  /// Number of distinct workers on which a job may fail before it ends.
  std::uint32_t FailedWorkersPerJobLimit = 3;
  /// Number of distinct jobs that may fail on a worker before it is
  /// quarantined.
  std::uint32_t FailedJobsPerWorkerLimit = 3;
  /// Failed attempts of a job, on any workers, after which it ends as failed.
  /// Ends jobs that only one worker can hold, since these never fail on
  /// distinct workers.
  std::uint32_t FailuresPerJobLimit = 9;
  /// Duration of the first quarantine; each repeated one takes twice as long.
  Milliseconds FirstQuarantineDuration{60 * 1000};
  Milliseconds MaxQuarantineDuration{60 * 60 * 1000};

  auto operator==(const SchedulerPolicy &) const -> bool = default;
};

} // namespace jayramp
