#include "Scheduling/PlacementFailureCache.h"

#include <algorithm>

namespace jayramp::scheduling {

namespace {

/// Returns whether \p Shape cannot fit where \p Failed does not fit.
auto requestsAtLeast(const TaskGroupShape &Shape, const TaskGroupShape &Failed)
    -> bool {
  // A gang that is too large for every rack may be spread over all of them, so
  // a larger gang can fit where a smaller one that must stay in a rack does
  // not.
  if (Failed.RequiresSingleRack)
    return Shape == Failed;
  return Shape.TaskCount >= Failed.TaskCount &&
         Shape.Need.covers(Failed.Need) &&
         Failed.AllowedSpeeds.contains(Shape.AllowedSpeeds) &&
         Shape.RequiredLabel == Failed.RequiredLabel &&
         Shape.Service == Failed.Service;
}

} // namespace

auto PlacementFailureCache::add(const TaskGroupShape &Shape, double LowestCost)
    -> void {
  // If the tasks failed because of a per-worker limit, other tasks of the same
  // size may still fit.
  if (Shape.HasPerWorkerLimit)
    return;
  // A failure that the new one implies would only make lookups slower.
  if (LowestCost == InfeasibleCost)
    std::erase_if(Failures, [&](const Failure &Known) {
      return requestsAtLeast(Known.Shape, Shape);
    });
  Failures.push_back({Shape, LowestCost});
}

auto PlacementFailureCache::isKnownToFail(const TaskGroupShape &Shape,
                                          double Budget) const -> bool {
  return std::any_of(Failures.begin(), Failures.end(),
                     [&](const Failure &Known) {
                       if (Known.LowestCost <= Budget)
                         return false;
                       // Costs are computed greedily, one task after the other,
                       // so finite costs are comparable only between equal
                       // shapes.
                       return Known.LowestCost == InfeasibleCost
                                  ? requestsAtLeast(Shape, Known.Shape)
                                  : Shape == Known.Shape;
                     });
}

} // namespace jayramp::scheduling
