#pragma once

#include "Base/Clock.h"
#include "Scheduling/Resources.h"
#include "Scheduling/RetryBackoff.h"
#include "Scheduling/RunId.h"
#include "Scheduling/WorkerReport.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace jayramp::scheduling {

struct Run;

/// A worker with the runs placed on it.
struct WorkerEntry {
  WorkerReport Report;
  bool Registered = true;    ///< Listed by service discovery.
  bool Reachable = true;     ///< Answered the last call.
  bool InClosedZone = false; ///< Gets no new runs.
  std::size_t Rack = 0;      ///< Number of the rack, from 0.
  Resources Used;            ///< Resources of runs that may be alive.
  Resources Stopping;        ///< The part of Used that stopping runs occupy.
  std::map<RunId, Run *> Runs;
  /// Jobs that failed on the worker since its last success.
  std::set<std::string> FailedJobs;
  /// When a task last failed, stalled or could not be started on the worker.
  TimePoint TroubledAt;
  /// Tasks failed or stalled on the worker: until then it is used only in an
  /// idle pool, for tasks that find no other room.
  TimePoint QuarantinedUntil;
  TimePoint PausedUntil; ///< It gets no tasks at all until then.
  /// Of runs that the worker could not be sent since its last start.
  RetryBackoff UnsentRuns;
  bool RefusedStart = false; ///< Since its last start.
  /// Expected time of a task here as a multiple of its time on a typical
  /// worker; updated before each scheduling pass.
  double TimeFactor = 1.0;
  TimePoint LeavesAt; ///< When a draining worker leaves; zero if unknown.

  /// Returns whether the worker's capacity counts as capacity of its pool.
  auto isOpen() const -> bool { return Registered && !InClosedZone; }
  /// Returns whether the worker gets tasks at \p Now apart from a quarantine.
  auto takesTasks(TimePoint Now) const -> bool {
    return isOpen() && Reachable && !Report.Draining && Now >= PausedUntil &&
           UnsentRuns.isOver(Now);
  }
  /// Returns whether the worker has failed tasks, or could not start one, and
  /// nothing has shown since that this is over. Such workers are tried last: a
  /// task would go on trying them otherwise, and never the others.
  auto isDoubtful(TimePoint Now) const -> bool {
    return !FailedJobs.empty() || RefusedStart ||
           UnsentRuns.until() != TimePoint() || Now < QuarantinedUntil;
  }
};

} // namespace jayramp::scheduling
