#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace jayramp {

enum class PlacementRule {
  SmallestBlock, ///< Smallest block that fits; keeps large blocks whole.
  FirstFit,      ///< Lowest position that fits; a baseline for comparison.
};

/// Limits of the job scheduler.
struct SchedulerPolicy {
  PlacementRule Rule = PlacementRule::SmallestBlock;
  /// A blocked surplus job at the head of the queue may, after this wait,
  /// reclaim gangs of younger jobs that started later than that.
  Milliseconds PassingLimit{10 * 60 * 1000};
  std::uint32_t FailedWorkerLimit = 3; ///< Distinct workers, fails the job.
  std::uint32_t FailedJobLimit = 3;    ///< Distinct jobs, quarantines a worker.
  /// Failed attempts of one job in all. Ends a job that only one worker can
  /// hold and that therefore never fails on distinct workers.
  std::uint32_t FailureLimit = 9;
  Milliseconds QuarantineDelay{60 * 1000}; ///< Doubled for each repeat.
  Milliseconds LongestQuarantine{60 * 60 * 1000};

  auto operator==(const SchedulerPolicy &) const -> bool = default;
};

} // namespace jayramp
