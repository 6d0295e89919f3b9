#pragma once

#include "Base/Clock.h"
#include "Scheduling/Resources.h"
#include "Scheduling/SpeedPreference.h"
#include "Scheduling/WorkerEntry.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jayramp::scheduling {

/// A worker that may take tasks in a placement pass.
struct CandidateWorker {
  WorkerEntry *Worker = nullptr;
  SpeedClass Speed = 0;
  Resources Free; ///< Available now.
  /// Available once the stopping runs have ended, minus the resources that are
  /// reserved for waiting task groups.
  Resources FreeAfterStops;
  Resources Held; ///< Held for gangs; not part of FreeAfterStops.
  /// Tasks that may run on few workers have waited for this one.
  bool IsWanted = false;

  /// Returns what a task can use now without taking reserved resources.
  auto usable() const -> Resources {
    return componentwiseMin(Free, FreeAfterStops);
  }
};

/// The workers that may take tasks in a placement pass, with what the pass has
/// left of their resources.
class CandidateWorkers {
public:
  // Commands.

  /// Forgets all workers. Racks are numbered from 0 to \p RackCount - 1.
  auto reset(std::size_t RackCount) -> void;
  /// Adds a worker of the class \p Speed; the same for all workers while
  /// their speeds are unknown.
  auto add(WorkerEntry &Worker, SpeedClass Speed) -> void;
  /// Takes the resources of a task that is placed now.
  auto occupy(std::size_t Position, const Resources &Need) -> void;
  /// Reserves resources for a task that is placed once they are free.
  auto reserve(std::size_t Position, const Resources &Need) -> void {
    Candidates[Position].FreeAfterStops -= Need;
  }
  /// Reserves resources for a gang for which room is gathered.
  auto hold(std::size_t Position, const Resources &Need) -> void {
    Candidates[Position].FreeAfterStops -= Need;
    Candidates[Position].Held += Need;
  }
  /// Has other tasks use the worker last.
  auto markWanted(std::size_t Position) -> void {
    Candidates[Position].IsWanted = true;
  }
  /// Makes the resources available again that are held for gangs.
  auto releaseHeld() -> void;
  /// Adds the resources of a run that has just been told to stop.
  auto addStopping(std::size_t Position, const Resources &Need) -> void {
    Candidates[Position].FreeAfterStops += Need;
  }
  /// Makes positionOf() find the workers.
  auto indexById() -> void;

  // Queries.

  auto size() const -> std::size_t { return Candidates.size(); }
  auto operator[](std::size_t Position) const -> const CandidateWorker & {
    return Candidates[Position];
  }
  /// Returns the position of a worker; none if it takes no tasks in this pass,
  /// or before indexById().
  auto positionOf(std::string_view Worker) const -> std::optional<std::size_t>;
  auto rackCount() const -> std::size_t { return RackFreeGpus.size(); }
  /// Returns the number of free accelerators in a rack.
  auto freeGpusOfRack(std::size_t Rack) const -> std::int64_t {
    return RackFreeGpus[Rack];
  }
  /// Returns the number of free accelerators of all workers.
  auto freeGpus() const -> std::int64_t { return TotalFree.Gpus; }
  /// Returns the number of free accelerators of the workers in \p Speeds.
  auto freeGpusWithin(const SpeedRange &Speeds) const -> std::int64_t;
  /// Returns the speed classes of the workers, the fastest first.
  auto speedClasses() const -> const std::vector<SpeedClass> & {
    return SpeedClasses;
  }
  /// Returns the free resources of all workers together.
  auto totalFree() const -> const Resources & { return TotalFree; }

private:
  /// Adds to the number of free accelerators.
  auto addFree(const CandidateWorker &Candidate, const Resources &Amount)
      -> void;

  std::vector<CandidateWorker> Candidates;
  std::unordered_map<std::string_view, std::size_t> PositionByWorker;
  std::vector<std::int64_t> RackFreeGpus;
  Resources TotalFree;
  std::vector<SpeedClass> SpeedClasses;
  /// By position in SpeedClasses.
  std::vector<std::int64_t> FreeGpusByClass;
};

} // namespace jayramp::scheduling
