#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jayramp {

class StandIn;

/// Returns the current Unix time in ms, the time base of the stand-ins'
/// records.
auto unixMilliseconds() -> std::int64_t;

/// The started tasks of gangs as the worker stand-ins recorded them, with start
/// and end times. The times of different workers can be compared, because all
/// stand-ins read the clock of the same machine.
class GangExecutionRecord {
public:
  /// Reads the records of workers 0 to \p WorkerCount - 1.
  static auto read(const StandIn &Workers, int WorkerCount)
      -> GangExecutionRecord;

  /// Returns one line for each attempt of the given jobs that ran with only
  /// part of its accelerators for longer than \p MaxPartialRun, and for each
  /// accelerator that two tasks used at once; empty if there are none.
  /// \p AcceleratorsByJob holds the size of each gang by job id.
  auto violations(const std::map<std::string, std::uint32_t> &AcceleratorsByJob,
                  Milliseconds MaxPartialRun) -> std::string;
  /// Returns the longest time in ms for which an attempt ran with only part of
  /// its accelerators, over all calls of violations().
  auto longestPartialRunMs() const -> std::int64_t {
    return LongestPartialRunMs;
  }

  /// Returns the number of started tasks of \p Job.
  auto taskCount(const std::string &Job) const -> std::size_t;
  /// Returns the number of accelerators on which tasks of \p Job still run.
  auto runningAccelerators(const std::string &Job) const -> std::size_t;
  /// Returns the Unix time in ms at which the last task of \p Job started; 0 if
  /// none has started.
  auto lastTaskStartMs(const std::string &Job) const -> std::int64_t;

private:
  struct Task {
    int WorkerIndex = 0;
    std::string Name;
    std::string Job;
    std::vector<std::uint32_t> Accelerators;
    std::int64_t StartMs = 0;
    std::int64_t EndMs = 0; ///< 0 while the task runs.
    std::string EndReason;
  };

  /// Returns the longest time in ms for which the attempt used some, but fewer
  /// than \p JobAccelerators, accelerators.
  auto longestPartialRunMsOf(const std::vector<Task> &Attempt,
                             std::uint32_t JobAccelerators) const
      -> std::int64_t;

  std::vector<Task> Tasks; ///< Started tasks only.
  std::int64_t ReadAtMs = 0;
  std::int64_t LongestPartialRunMs = 0;
};

} // namespace jayramp
