#pragma once

#include "Scheduling/ShardScheduler.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jayramp::scheduling {

/// Simulates in simulated time a scheduler whose workers fail tasks, refuse
/// starts, hang, fall silent, restart, leave and lie in closed zones, and whose
/// callers submit random jobs, some of which cannot be done. Then all of this
/// ends, and no task may wait for long beside room for it twice over.
class WaitBoundModel {
public:
  /// What becomes of the workers when the faults end.
  enum class Afterwards {
    AllSound,
    SomeFaulty, ///< At most a quarter of each zone does not serve, for ever.
  };

  WaitBoundModel(std::uint64_t Seed, Afterwards End);

  /// Plays the faults and the calm time after them.
  auto play() -> void;

  /// Returns a description of the first task that waited too long; empty if
  /// there is none.
  auto firstViolation() const -> const std::string & { return FirstViolation; }
  /// Returns how many waits beside room there were in the calm time.
  auto waitCount() const -> std::size_t { return Waits; }
  auto placedCount() const -> std::size_t { return Placed; }
  auto finishedCount() const -> std::size_t;

private:
  enum class Condition {
    Sound,
    FailsTasks,
    HangsTasks,
    RefusesStarts,
    CannotBeSent, ///< No start reaches it.
    AnswersNoStart,
    Silent,
    Gone, ///< Without an entry.
  };
  struct Worker {
    WorkerReport Report;
    Condition Now = Condition::Sound;
    std::int64_t UntilMs = 0; ///< Of the condition.
    std::int64_t SilentSinceMs = 0;
    bool IsFaultyForEver = false;
  };
  /// How the tasks of a job behave.
  enum class Behavior { Normal, Failing, Hanging };
  struct JobKind {
    Behavior Tasks = Behavior::Normal;
    std::int64_t WorkMs = 0;
  };
  struct RunState {
    std::int64_t StoppingSinceMs = -1;
    std::int64_t WorkingSinceMs = -1; ///< Of a gang: since all members are.
  };
  /// A step of a job with tasks that have not started.
  using WaitingStep = std::pair<std::string, std::uint32_t>;

  auto number(std::int64_t Low, std::int64_t High) -> std::int64_t;
  auto happens(int Percent) -> bool { return number(0, 99) < Percent; }
  auto addWorkers() -> void;
  auto submitJob(std::int64_t HighestPriority) -> void;
  auto disturb() -> void;
  auto setCondition(Worker &Target, Condition Next, std::int64_t ForMs) -> void;
  auto endConditions() -> void;
  auto endFaults() -> void;
  auto advanceRuns() -> void;
  auto advanceRun(const RunId &Id, Worker &On) -> void;
  auto advanceAssigned(const Run &LiveRun, const Worker &On) -> void;
  auto advanceStarted(const Run &LiveRun, const Worker &On) -> void;
  auto isGangComplete(const RunId &Member) const -> bool;
  auto checkWaits() -> void;
  /// Returns for how long a task may wait beside room.
  auto longestWaitMs() const -> std::int64_t;
  auto hasTaskThatHasNotStarted(const JobEntry &Job, std::uint32_t Step) const
      -> bool;
  auto poolUse() const -> double;
  /// Returns how many tasks of the step fit on the workers that are sound.
  auto soundRoom(const JobEntry &Job, std::uint32_t Step) const
      -> std::uint64_t;
  auto describe(const JobEntry &Job, std::uint32_t Step) const -> std::string;
  auto now() const -> TimePoint;

  Afterwards End;
  std::mt19937_64 Random;
  ShardScheduler Scheduler;
  std::map<std::string, Worker> Workers;
  std::map<std::string, JobKind> Kinds;
  std::map<RunId, RunState> Runs;
  std::map<WaitingStep, std::int64_t> WaitingSinceMs;
  std::set<std::string> ClosedZones;
  std::int64_t NowMs = 0;
  std::int64_t NextIncarnation = 1;
  int JobCount = 0;
  int ArrivalPercent = 0; ///< Chance of a new job in each step.
  std::size_t Placed = 0;
  std::size_t Waits = 0;
  std::string FirstViolation;
};

} // namespace jayramp::scheduling
