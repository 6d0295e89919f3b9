#pragma once

#include "Base/Clock.h"
#include "Scheduling/DecayingMean.h"
#include "Scheduling/LogEstimate.h"
#include "Scheduling/SpeedEstimate.h"
#include "Scheduling/SpeedLevel.h"
#include "Scheduling/SpeedSummary.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jayramp::scheduling {

struct WorkerEntry;

/// Learns how fast workers are. At each level, a group's own measurements are
/// weighed against the estimate of the group that contains it. Performs no I/O
/// and reads no clock.
class WorkerSpeeds {
public:
  WorkerSpeeds();

  // Commands.

  /// Returns the groups of \p Worker and adds those that are new.
  auto pathOf(const WorkerEntry &Worker) -> const SpeedPath &;
  /// Records that a run on the group at \p Level of \p Path took
  /// exp(\p LogFactor) times as long as expected on a typical worker. \p Weight
  /// is the inverse of the variance of \p LogFactor.
  auto record(SpeedLevel Level, const SpeedPath &Path, double LogFactor,
              double Weight, TimePoint Now) -> void;
  auto forgetWorker(const std::string &Id) -> void;
  /// Computes the estimates of all groups from the measurements. Has no effect
  /// on them while no worker is registered.
  auto refresh(const std::map<std::string, WorkerEntry> &Workers, TimePoint Now)
      -> void;
  /// Takes over what another owner has learned, as if from a few runs.
  auto restore(const SpeedSummary &Known, TimePoint Now) -> void;

  // Queries.

  /// Returns what is known, empty if workers are not known to differ, or
  /// nothing until refresh() has seen registered workers since restore().
  auto summary() const -> std::optional<SpeedSummary>;
  /// Returns whether groups or workers differ by more than noise.
  auto differ() const -> bool { return Differ; }
  /// Returns the geometric means of the time factors of the workers in each
  /// zone, by name.
  auto zoneFactors() const -> std::map<std::string, double>;
  /// Returns the time factors of the workers that are slower than their rack
  /// beyond noise, by id.
  auto slowWorkers() const -> std::map<std::string, double>;
  /// Returns the number of the rack of a worker, if the worker is known.
  auto rackOf(const std::string &Worker) const -> std::optional<std::size_t>;
  /// Returns the logarithm of the time factor of \p Worker, as of the last
  /// refresh().
  auto logFactor(const WorkerEntry &Worker) const -> double;
  /// Returns the mean and its variance of what record() was told of the group
  /// at \p Which of \p Path.
  auto measuredAt(SpeedLevel Which, const SpeedPath &Path, TimePoint Now) const
      -> LogEstimate;
  /// Returns the estimated log time factor of the worker of \p Path, with its
  /// variances.
  auto estimate(const SpeedPath &Path) const -> SpeedEstimate;

private:
  struct Group {
    std::size_t RackNumber = 0; ///< Worker only.
    SpeedPath Path{};           ///< Of its groups up to its own level.
    DecayingMean Measured;
    DecayingMean Recent;  ///< Of the latest of these measurements.
    double LogFactor = 0; ///< Of the time, relative to a typical worker.
    double Variance = 0;  ///< Of LogFactor, relative to the group above.
    bool Slow = false;    ///< Worker only: slower than its rack beyond noise.
  };

  struct Level {
    std::vector<Group> Groups;
    std::unordered_map<std::string, std::uint32_t> Indices; ///< By name.
    std::vector<std::uint32_t> FreeIndices;
    /// Of the logarithm of the time factor, among the groups within one group
    /// of the level above.
    double Variance = 0;
  };

  /// Enters the index of the group called \p Name into \p Path.
  auto groupOf(SpeedLevel Which, std::string Name, SpeedPath &Path) -> void;
  auto level(SpeedLevel Which) -> Level & {
    return Levels[static_cast<std::size_t>(Which)];
  }
  auto level(SpeedLevel Which) const -> const Level & {
    return Levels[static_cast<std::size_t>(Which)];
  }
  /// Forgets the earlier measurements of groups whose speed has changed.
  auto detectChanges(TimePoint Now) -> void;
  /// Learns from the measurements how much the groups at a level differ.
  auto updateVariance(SpeedLevel Which, TimePoint Now) -> void;
  auto estimateGroups(TimePoint Now) -> void;
  /// Makes the mean of all workers the typical worker.
  auto centre(const std::map<std::string, WorkerEntry> &Workers) -> void;
  auto doZonesDiffer() const -> bool;
  /// Returns whether any group at a level differs from the group above it.
  auto doGroupsDeviate(SpeedLevel Which) const -> bool;
  /// Updates which workers are slow. Returns whether any is.
  auto updateSlowWorkers() -> bool;
  /// Returns whether the worker is slower than its rack beyond noise.
  auto isSlow(const Group &Worker) const -> bool;

  /// Returns the logarithm of the time factor of the group above \p Member.
  auto parentLogFactor(SpeedLevel Which, const Group &Member) const -> double;
  /// Returns how far the logarithm of the time factor of a group is from that
  /// of the group above it.
  auto deviation(SpeedLevel Which, const Group &Member) const -> double;
  /// Returns the groups of a level for summary().
  auto groupsOf(SpeedLevel Which) const -> std::vector<SpeedSummary::Group>;
  /// Returns the workers for summary().
  auto slowestWorkers() const -> std::map<std::uint32_t, std::int32_t>;
  /// Returns what restore() was told of a new group.
  auto takeRestored(SpeedLevel Which, const std::string &Name)
      -> std::optional<double>;

  std::array<Level, SpeedLevelCount> Levels;
  /// What restore() was told of groups that are not known yet, by name.
  std::array<std::unordered_map<std::string, double>, SpeedLevelCount> Restored;
  /// The same of workers, by SpeedSummary::workerHash().
  std::unordered_map<std::uint32_t, double> RestoredWorkers;
  TimePoint RestoredAt;
  bool Differ = false;
  /// refresh() has seen registered workers since restore().
  bool IsEstimated = false;
};

} // namespace jayramp::scheduling
