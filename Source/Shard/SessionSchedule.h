#pragma once

#include "Base/Clock.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jayramp::shard {

/// Records when each worker session must send its next orders and which jobs'
/// commits it waits for, so that an event costs as much as the sessions that it
/// concerns and not as all of them.
class SessionSchedule {
public:
  // Commands.

  /// Replaces the time at which the session of \p Worker is due.
  auto setDue(const std::string &Worker, TimePoint Due) -> void;
  /// Makes the session of \p Worker wait for the next commit of \p Job.
  auto awaitCommit(const std::string &Worker, const std::string &Job) -> void;
  auto remove(const std::string &Worker) -> void;
  /// Removes and returns the workers whose sessions are due at \p Now, earliest
  /// first.
  auto takeDue(TimePoint Now) -> std::vector<std::string>;
  /// Removes and returns the workers whose sessions wait for one of \p Jobs.
  auto takeAwaiting(const std::vector<std::string> &Jobs)
      -> std::set<std::string>;

  // Queries.

  /// Returns the earliest due time; the latest possible time if there is none.
  auto earliestDue() const -> TimePoint;

private:
  std::map<std::string, TimePoint> DueByWorker;
  std::set<std::pair<TimePoint, std::string>> Order; ///< Of DueByWorker.
  std::map<std::string, std::set<std::string>> WorkersByJob;
};

} // namespace jayramp::shard
