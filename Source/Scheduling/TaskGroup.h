#pragma once

#include "Scheduling/JobEntry.h"

#include <cstdint>

namespace jayramp::scheduling {

/// How a job stands to its latency objective. Jobs of equal priority are placed
/// in this order.
enum class Lateness {
  OnTime,  ///< The job can still meet the objective.
  Late,    ///< The job will miss the objective.
  TooLate, ///< The result has no value for the client any more.
};

/// Tasks with equal requirements that wait: all tasks of a gang, which are
/// placed together, or tasks of a step that are placed one by one.
struct TaskGroup {
  JobEntry *Job = nullptr;
  std::uint32_t Step = 0;
  std::uint32_t TaskCount = 1;
  Lateness JobLateness = Lateness::OnTime;
  bool StaysInRack = false; ///< It is placed in one rack or not at all.

  auto spec() const -> const StepSpec & { return Job->Spec.Steps[Step]; }
};

} // namespace jayramp::scheduling
