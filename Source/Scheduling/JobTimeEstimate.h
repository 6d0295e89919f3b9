#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <vector>

namespace jayramp::scheduling {

class JobEntry;
class RunTimeModel;

/// The expected times of the steps of a job that are not done, on typical
/// workers and without waits, as the run time model knows them.
class JobTimeEstimate {
public:
  JobTimeEstimate(const JobEntry &Job, const RunTimeModel &RunTimes);

  /// Returns the time that the longest chain of steps takes.
  auto total() const -> Milliseconds;
  /// Returns the time that one task of the step takes.
  auto taskTime(std::uint32_t Step) const -> Milliseconds {
    return TaskTimes[Step];
  }
  /// Returns the time that the steps take that depend on \p Step.
  auto timeAfter(std::uint32_t Step) const -> Milliseconds {
    return TimesToEnd[Step] - TaskTimes[Step];
  }

private:
  std::vector<Milliseconds> TaskTimes; ///< By step; zero if it is done.
  /// By step: from its start to the end of the job.
  std::vector<Milliseconds> TimesToEnd;
};

} // namespace jayramp::scheduling
