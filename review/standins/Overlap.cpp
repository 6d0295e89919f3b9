#include "Scenarios.h"

namespace review {

auto reportOverlap(Cluster &Stage) -> bool {
  const auto Overlap = Stage.history().findOverlap();
  if (!Overlap)
    return false;
  const auto &[First, Second] = *Overlap;
  const auto EndMs = First.EndMs.value_or(Stage.record().elapsedMs());
  Stage.record().write("TWICE is broken: " + RunHistory::describe(First) +
                       " and " + RunHistory::describe(Second) +
                       " ran at the same time from " +
                       std::to_string(Second.StartMs) + " ms to " +
                       std::to_string(EndMs) + " ms");
  return true;
}

} // namespace review
