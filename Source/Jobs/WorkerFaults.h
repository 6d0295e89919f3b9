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

/// Counts the distinct jobs that failed on each worker and quarantines workers.
/// After a quarantine one failure is enough for the next, twice as long one; a
/// success ends the record.
class WorkerFaults {
public:
  /// A quarantine that a failure has caused.
  struct Quarantine {
    Milliseconds Delay{0};
    std::vector<std::string> Jobs; ///< Whose failures caused it.
  };

  auto recordFailure(const std::string &Worker, const std::string &Job,
                     TimePoint Now, const SchedulerPolicy &Policy)
      -> std::optional<Quarantine>;
  auto recordSuccess(const std::string &Worker) -> void;
  /// Failures of a job that failed through its own fault count no longer.
  auto forgetJob(const std::string &Job) -> void;
  /// Ends quarantines that are over; true if there was one.
  auto expire(TimePoint Now) -> bool;
  auto isQuarantined(const std::string &Worker) const -> bool;

private:
  struct Record {
    std::set<std::string> Jobs;
    std::uint32_t Quarantines = 0; ///< In a row, without a success between.
    std::optional<TimePoint> Until;
  };

  std::map<std::string, Record> Records;
};

} // namespace jayramp
