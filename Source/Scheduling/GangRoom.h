#pragma once

#include "Base/Clock.h"
#include "Scheduling/LayoutSearch.h"
#include "Scheduling/Resources.h"
#include "Scheduling/SchedulingPolicy.h"
#include "Scheduling/TaskGroup.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jayramp::scheduling {

class CandidateWorkers;
class RoomForecast;

/// How the gathering of room for a gang went on; used for logs.
struct GangRoomDecision {
  std::string_view Kind; ///< "began", "placed" or "given-up".
  std::string Job;
  std::uint32_t Step = 0;
  std::uint32_t Tasks = 0;
  std::size_t Workers = 0; ///< Number of workers that are, or were, held.
  double Seconds = 0; ///< Expected time until there is room, or time of hold.

  auto operator==(const GangRoomDecision &) const -> bool = default;
};

/// Gathers room for gangs that wait long while smaller jobs take each worker
/// that becomes free: the workers that are expected to have room first are held
/// for a gang until all of it fits, for a bounded time and in a bounded part of
/// the pool. Performs no I/O and reads no clock.
class GangRoom {
public:
  /// A gang for which room is held.
  struct Gathering {
    std::string Job;
    std::uint32_t Step = 0;
    std::uint32_t Tasks = 0;
    Resources Need; ///< Resources of each task.
    std::uint32_t Priority = 0;
    bool IsTooLate = false; ///< Its result has no value for the client.
    TimePoint BeganAt;
    TimePoint Deadline; ///< The room is given up then.
    /// Names of the held workers, and the number of tasks that each is for.
    std::vector<std::pair<std::string, std::uint32_t>> Workers;

    /// Returns whether room is held against \p Group, which is not more urgent.
    auto isHeldAgainst(const TaskGroup &Group) const -> bool;
  };

  /// What a pass knows after it has placed what it could.
  struct PassState {
    const std::vector<TaskGroup> &Groups; ///< In the order of their turns.
    CandidateWorkers &Candidates;
    const LayoutSearch &Search;
    const RoomForecast &Forecast;
    double PoolUse = 0;             ///< From 0 to 1.
    double PoolCoreEquivalents = 0; ///< Capacity of the pool.
    TimePoint Now;
  };

  explicit GangRoom(const SchedulingPolicy &Policy) : Policy(Policy) {}

  // Commands.

  /// Ends the gatherings that are complete, overdue or out of reach, plans the
  /// others anew and begins further ones.
  auto update(const PassState &State) -> void;
  /// Ends the gathering for a gang that has been placed.
  auto recordPlaced(const JobEntry &Job, std::uint32_t Step, TimePoint Now)
      -> void;

  /// Returns what was decided since the last call.
  auto takeDecisions() -> std::vector<GangRoomDecision> {
    return std::exchange(Decisions, {});
  }

  // Queries.

  auto gatherings() const -> const std::vector<Gathering> & {
    return Gatherings;
  }
  /// Returns whether update() is to be called in a pass at \p Now.
  auto needsUpdate(TimePoint Now) const -> bool { return Now >= NextUpdate; }

private:
  /// When all tasks of a gang are expected to have room, and where.
  struct Plan {
    TimePoint ReadyAt;
    std::vector<std::pair<std::size_t, std::uint32_t>> TasksByPosition;
  };

  auto replan(const PassState &State) -> void;
  auto begin(const PassState &State) -> void;
  auto tryToBegin(const PassState &State, const TaskGroup &Group) -> void;
  auto isEligible(const PassState &State, const TaskGroup &Group) const -> bool;
  auto longestHold(const JobEntry &Job) const -> Milliseconds;
  auto isWithinShare(const PassState &State, const TaskGroup &Group) const
      -> bool;
  static auto findPlan(const PassState &State, const TaskGroup &Group,
                       TimePoint Until) -> std::optional<Plan>;
  static auto planOn(const PassState &State, const TaskGroup &Group,
                     const std::vector<std::size_t> &WorkerSet, TimePoint Until)
      -> std::optional<Plan>;
  static auto hold(const PassState &State, const Plan &Chosen,
                   Gathering &Target) -> void;
  auto record(std::string_view Kind, const Gathering &About, double Seconds)
      -> void;

  SchedulingPolicy Policy;
  std::vector<Gathering> Gatherings;
  std::vector<GangRoomDecision> Decisions;
  TimePoint NextUpdate;
};

} // namespace jayramp::scheduling
