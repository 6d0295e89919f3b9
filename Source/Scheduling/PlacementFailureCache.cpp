#include "Scheduling/PlacementFailureCache.h"

#include <algorithm>

namespace jayramp::scheduling {

namespace {

auto asksForNoLess(const TaskGroupShape &Shape, const TaskGroupShape &Failed)
    -> bool {
  // A gang that no rack can hold may use all of them, so a larger one can fit
  // where a smaller one that must stay in a rack does not.
  if (Failed.OneRack)
    return Shape == Failed;
  return Shape.Count >= Failed.Count && Shape.Need.covers(Failed.Need) &&
         Shape.RequiredLabel == Failed.RequiredLabel &&
         Shape.Service == Failed.Service;
}

} // namespace

auto PlacementFailureCache::add(const TaskGroupShape &Shape, double LeastCost)
    -> void {
  // Where a limit stopped the tasks, others may fit.
  if (!Shape.Limited)
    Shapes.push_back({Shape, LeastCost});
}

auto PlacementFailureCache::rulesOut(const TaskGroupShape &Shape,
                                     double Budget) const -> bool {
  return std::any_of(Shapes.begin(), Shapes.end(), [&](const Failure &Failed) {
    if (Failed.LeastCost <= Budget)
      return false;
    // Costs are found one task after the other and only comparable between
    // equal shapes.
    return Failed.LeastCost == NoRoom ? asksForNoLess(Shape, Failed.Shape)
                                      : Shape == Failed.Shape;
  });
}

} // namespace jayramp::scheduling
