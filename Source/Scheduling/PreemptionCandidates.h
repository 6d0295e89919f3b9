#pragma once

#include "Base/Clock.h"
#include "Scheduling/Resources.h"
#include "Scheduling/RunId.h"

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace jayramp::scheduling {

class JobEntry;
class ShardScheduler;
struct Run;
struct WorkerEntry;

/// A run that may be preempted.
struct PreemptionCandidate {
  RunId Id;
  Resources Need;
  /// Core-seconds of work that are lost if the run, and the rest of its gang if
  /// it has one, is stopped.
  double Cost = 0;
  std::uint32_t Priority = 0;
  bool Guaranteed = false; ///< Its job is within its account's guarantee.
};

/// The runs on some workers that could be preempted, for each worker in order
/// of increasing cost. Collected once at the first need in a placement pass:
/// runs placed during the same pass are at least as urgent as the tasks that
/// are tried after them, so they are never candidates.
class PreemptionCandidates {
public:
  PreemptionCandidates(const ShardScheduler &Scheduler, TimePoint Now)
      : Scheduler(Scheduler), Now(Now) {}

  auto collect(const std::vector<const WorkerEntry *> &Workers) -> void;
  auto isCollected() const -> bool { return !ByWorker.empty(); }
  /// Removes a run that was stopped. \p WorkerIndex is the position of its
  /// worker in the argument of collect().
  auto remove(std::size_t WorkerIndex, const RunId &StoppedRun) -> void;
  /// Returns the candidates on the worker at \p WorkerIndex in the argument of
  /// collect().
  auto on(std::size_t WorkerIndex) const
      -> const std::vector<PreemptionCandidate> & {
    return ByWorker[WorkerIndex];
  }
  /// Returns the live runs of the gang of \p Member, or only \p Member if it
  /// does not belong to a gang.
  auto gangOf(const RunId &Member) const -> std::vector<RunId>;

private:
  /// Returns whether the run is expected to end before a stop would take
  /// effect. Only runs outside gangs are judged: a gang ends with its slowest
  /// member.
  auto endsBeforeStop(const Run &LiveRun) const -> bool;
  /// Returns the cost of stopping \p Candidate and the rest of its gang.
  auto costOf(const Run &Candidate) -> double;
  /// Returns the cost of stopping \p LiveRun alone.
  auto ownCost(const Run &LiveRun) const -> double;

  const ShardScheduler &Scheduler;
  TimePoint Now;
  std::vector<std::vector<PreemptionCandidate>> ByWorker;
  /// Costs of whole gangs, by job, step and run number.
  std::map<std::tuple<const JobEntry *, std::uint32_t, std::uint32_t>, double>
      GangCosts;
};

} // namespace jayramp::scheduling
