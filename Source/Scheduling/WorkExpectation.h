#pragma once

#include "Scheduling/LogEstimate.h"

namespace jayramp::scheduling {

/// What to expect of the tasks of a step before any of them has run. The work
/// of a task is its time on a typical worker.
struct WorkExpectation {
  LogEstimate Work; ///< Logarithm of the mean work in seconds.
  /// Variance of the logarithm of the time among the tasks of the step, on
  /// workers of equal speed.
  double TaskVariance = 0;

  auto operator==(const WorkExpectation &) const -> bool = default;
};

} // namespace jayramp::scheduling
