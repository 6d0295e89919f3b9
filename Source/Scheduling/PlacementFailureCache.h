#pragma once

#include "Scheduling/Resources.h"
#include "Scheduling/SpeedPreference.h"

#include <cstddef>
#include <limits>
#include <string_view>
#include <vector>

namespace jayramp::scheduling {

/// Describes tasks that must be placed together by the properties that decide
/// whether they fit. The text members refer to strings of the job.
struct TaskGroupShape {
  std::string_view Service;
  std::string_view RequiredLabel;
  Resources Need; ///< Resources of each task.
  std::size_t TaskCount = 0;
  bool RequiresSingleRack = false;
  bool HasPerWorkerLimit = false; ///< The tasks per worker are limited.
  SpeedRange AllowedSpeeds;       ///< Of the workers that may be used.

  auto operator==(const TaskGroupShape &) const -> bool = default;
};

/// Remembers shapes that could not be placed, or only by stopping runs, and at
/// which cost. Valid as long as the available resources only shrink: until
/// then, task groups that request as much or more need not be tried.
class PlacementFailureCache {
public:
  /// Cost of a shape that cannot be placed at any cost.
  static constexpr double InfeasibleCost =
      std::numeric_limits<double>::infinity();
  /// A budget that covers every finite cost.
  static constexpr double UnlimitedBudget = std::numeric_limits<double>::max();

  /// Records that placing \p Shape costs at least \p LowestCost core-seconds of
  /// lost work.
  auto add(const TaskGroupShape &Shape, double LowestCost = InfeasibleCost)
      -> void;
  /// Returns whether a recorded failure shows that \p Shape cannot be placed
  /// within \p Budget core-seconds of lost work.
  auto isKnownToFail(const TaskGroupShape &Shape,
                     double Budget = UnlimitedBudget) const -> bool;
  /// Discards all failures; must be called when available resources grow.
  auto clear() -> void { Failures.clear(); }

private:
  struct Failure {
    TaskGroupShape Shape;
    double LowestCost;
  };

  std::vector<Failure> Failures;
};

} // namespace jayramp::scheduling
