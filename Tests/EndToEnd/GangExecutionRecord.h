#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jayramp {

class StandIn;

/// Now as the records of the stand-ins count it.
auto unixMilliseconds() -> std::int64_t;

/// What the workers recorded about tasks, judged by their own clocks, which are
/// one clock on this machine.
class GangExecutionRecord {
public:
  static auto read(const StandIn &Workers, int Count) -> GangExecutionRecord;

  /// Empty if no attempt of the jobs ran in part for longer than \p Longest and
  /// no accelerator was in two tasks at once. \p Sizes: accelerators by job.
  auto violations(const std::map<std::string, std::uint32_t> &Sizes,
                  Milliseconds Longest) -> std::string;
  /// Longest time that an attempt ran in part, as seen by violations().
  auto longestPartialRunMs() const -> std::int64_t {
    return LongestPartialRunMs;
  }

  auto taskCount(const std::string &Job) const -> std::size_t;
  auto runningAccelerators(const std::string &Job) const -> std::size_t;
  /// Unix time in ms; 0 if nothing of the job has started.
  auto lastTaskStartMs(const std::string &Job) const -> std::int64_t;

private:
  struct Task {
    int Worker = 0;
    std::string Name;
    std::string Job;
    std::vector<std::uint32_t> Accelerators;
    std::int64_t Start = 0;
    std::int64_t End = 0; ///< 0 while it runs.
    std::string EndReason;
  };

  auto longestPartialRun(const std::vector<Task> &Attempt,
                         std::uint32_t Size) const -> std::int64_t;

  std::vector<Task> Tasks; ///< Started ones.
  std::int64_t ReadAtMs = 0;
  std::int64_t LongestPartialRunMs = 0;
};

} // namespace jayramp
