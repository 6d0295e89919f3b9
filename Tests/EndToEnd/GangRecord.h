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
class GangRecord {
public:
  static auto read(const StandIn &Workers, int Count) -> GangRecord;

  /// Empty if no attempt of the jobs ran in part for longer than \p Longest and
  /// no accelerator was in two tasks at once. \p Sizes: accelerators by job.
  auto faults(const std::map<std::string, std::uint32_t> &Sizes,
              Milliseconds Longest) -> std::string;
  /// Longest time that an attempt ran in part, as seen by faults().
  auto longestPartial() const -> std::int64_t { return Partial; }

  auto tasksOf(const std::string &Job) const -> std::size_t;
  auto runningAccelerators(const std::string &Job) const -> std::size_t;
  /// Unix time in ms; 0 if nothing of the job has started.
  auto lastStart(const std::string &Job) const -> std::int64_t;

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

  auto partialTime(const std::vector<Task> &Attempt, std::uint32_t Size) const
      -> std::int64_t;

  std::vector<Task> Tasks; ///< Started ones.
  std::int64_t ReadAt = 0;
  std::int64_t Partial = 0;
};

} // namespace jayramp
