#pragma once

#include "Base/Clock.h"
#include "Scheduling/Resources.h"
#include "Scheduling/RunId.h"

#include <vector>

namespace jayramp::scheduling {

class ShardScheduler;
struct WorkerEntry;

/// A run that more urgent work may stop.
struct PreemptionCandidate {
  RunId Id;
  Resources Need;
  /// Core-seconds of work lost with it and, if it is one, the rest of its gang.
  double Cost = 0;
  std::uint32_t Priority = 0;
  bool Guaranteed = false; ///< Its job is within a guarantee.
};

/// The runs of some workers that could be stopped, the cheapest of each worker
/// first. Collected once a pass; runs that are placed later in the pass are at
/// least as urgent as what asks for them.
class PreemptionCandidates {
public:
  PreemptionCandidates(const ShardScheduler &Scheduler, TimePoint Now)
      : Scheduler(Scheduler), Now(Now) {}

  auto collect(const std::vector<const WorkerEntry *> &Workers) -> void;
  auto collected() const -> bool { return !ByWorker.empty(); }
  /// The run of the worker at \p Position was stopped.
  auto remove(std::size_t Position, const RunId &Stopped) -> void;
  /// Runs of the worker at \p Position among the collected ones.
  auto on(std::size_t Position) const
      -> const std::vector<PreemptionCandidate> & {
    return ByWorker[Position];
  }
  /// The live runs of the gang of \p Member; only itself if it has none.
  auto gangOf(const RunId &Member) const -> std::vector<RunId>;

private:
  auto costOf(const RunId &Candidate) const -> double;

  const ShardScheduler &Scheduler;
  TimePoint Now;
  std::vector<std::vector<PreemptionCandidate>> ByWorker;
};

} // namespace jayramp::scheduling
