#pragma once

#include "Scheduling/LogEstimate.h"
#include "Scheduling/SpeedEstimate.h"
#include "Scheduling/WorkExpectation.h"

#include <cstddef>
#include <vector>

namespace jayramp::scheduling {

/// What the runs of one step have shown about the work of one of its tasks: its
/// time on a typical worker. The tasks of a step do about the same work, so
/// the times of its runs on different workers tell how fast these are.
class StepWork {
public:
  /// A part of a run that was measured.
  struct Measurement {
    SpeedEstimate Speed; ///< Of the worker, without this measurement.
    double LogTime = 0;  ///< Logarithm of the seconds that a task would take.
    double Runs = 0;     ///< What it counts as.
  };

  // Commands.

  auto record(const Measurement &Measured) -> void;
  /// Returns true once, when enough was measured to tell the work of the step.
  auto takeSettled() -> bool;

  // Queries.

  /// Returns whether nothing was measured.
  auto isEmpty() const -> bool { return Workers.empty(); }
  /// Returns the logarithm of the work in seconds, from \p Expected and from
  /// the measurements of all runs.
  auto estimate(const WorkExpectation &Expected) const -> LogEstimate;
  /// Returns the same without the measurements on workers that share the group
  /// at \p Excluded of \p Path.
  auto estimateWithout(const WorkExpectation &Expected, SpeedLevel Excluded,
                       const SpeedPath &Path) const -> LogEstimate;
  /// Returns how many runs were measured in the group at \p Which of \p Path.
  auto measuredRuns(SpeedLevel Which, const SpeedPath &Path) const -> double;

private:
  static constexpr std::size_t MaxWorkers = 64;

  std::vector<Measurement> Workers; ///< The latest ones, each once.
  std::size_t NextReplaced = 0;     ///< Index in Workers.
  double TotalRuns = 0;
  bool WasSettled = false;
};

} // namespace jayramp::scheduling
