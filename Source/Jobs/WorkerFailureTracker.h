#pragma once

#include "Base/Clock.h"
#include "Jobs/SchedulerPolicy.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jayramp {

/// Counts the distinct jobs that failed on each worker and decides on
/// quarantines. After a quarantine, a single failure causes the next one, which
/// lasts twice as long. A success resets the worker.
class WorkerFailureTracker {
public:
  /// A quarantine that has just begun.
  struct Quarantine {
    Milliseconds Duration{0};
    std::vector<std::string> Jobs; ///< Jobs whose failures caused it.
  };

  /// Records that the job failed on the worker. Returns the quarantine if this
  /// failure causes one; ignores failures during a quarantine.
  auto recordFailure(const std::string &Worker, const std::string &Job,
                     TimePoint Now, const SchedulerPolicy &Policy)
      -> std::optional<Quarantine>;
  /// Resets the worker, unless it is quarantined.
  auto recordSuccess(const std::string &Worker) -> void;
  /// Removes the failures of a job that turned out to be the cause itself.
  auto forgetFailuresOfJob(const std::string &Job) -> void;
  /// Ends quarantines whose time has passed. Returns true if there were any.
  auto endExpiredQuarantines(TimePoint Now) -> bool;
  auto isQuarantined(const std::string &Worker) const -> bool;

private:
  struct Record {
    std::set<std::string> Jobs;
    std::uint32_t Quarantines = 0; ///< Consecutive, without a success between.
    std::optional<TimePoint>
        QuarantinedUntil; ///< Only set during a quarantine.
  };

  std::map<std::string, Record> Records;
};

} // namespace jayramp
