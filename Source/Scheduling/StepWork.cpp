#include "Scheduling/StepWork.h"

#include <algorithm>

namespace jayramp::scheduling {

namespace {

/// Measured runs that tell the work of a step well enough to learn from it what
/// to expect of its kind.
constexpr double SettledRuns = 0.5;
/// Earlier measurements on a worker weigh at most as much as this many runs, so
/// that a change of its speed shows.
constexpr double MaxRunsPerWorker = 2.0;

auto group(const SpeedPath &Path, SpeedLevel Which) -> std::uint32_t {
  return Path[static_cast<std::size_t>(Which)];
}

/// Sums up measurements of the same work.
class MeasurementSum {
public:
  /// Adds a measurement whose speed has the variance \p Variance.
  auto add(const StepWork::Measurement &Each, double Variance) -> void {
    Runs += Each.Runs;
    LogWork += Each.Runs * (Each.LogTime - Each.Speed.LogFactor);
    SpeedVariance += Each.Runs * Variance;
  }

  auto combinedWith(const WorkExpectation &Expected) const -> LogEstimate {
    if (Runs <= 0)
      return Expected.Work;
    // The errors of the speeds are mostly those of a common zone, so they do
    // not average out.
    return combine(
        Expected.Work,
        {LogWork / Runs, (Expected.TaskVariance + SpeedVariance) / Runs});
  }

private:
  double Runs = 0;
  double LogWork = 0;
  double SpeedVariance = 0;
};

} // namespace

auto StepWork::record(const Measurement &Measured) -> void {
  TotalRuns += Measured.Runs;
  const auto Worker = group(Measured.Speed.Path, SpeedLevel::Worker);
  const auto Known = std::find_if(
      Workers.begin(), Workers.end(), [Worker](const Measurement &Each) {
        return group(Each.Speed.Path, SpeedLevel::Worker) == Worker;
      });
  if (Known == Workers.end()) {
    if (Workers.size() < MaxWorkers) {
      Workers.push_back(Measured);
      return;
    }
    Workers[NextReplaced] = Measured;
    NextReplaced = (NextReplaced + 1) % MaxWorkers;
    return;
  }
  const auto Before = std::min(Known->Runs, MaxRunsPerWorker);
  const auto Runs = Before + Measured.Runs;
  const auto LogTime =
      (Before * Known->LogTime + Measured.Runs * Measured.LogTime) / Runs;
  *Known = {Measured.Speed, LogTime, Runs};
}

auto StepWork::takeSettled() -> bool {
  if (WasSettled || TotalRuns < SettledRuns)
    return false;
  WasSettled = true;
  return true;
}

auto StepWork::estimate(const WorkExpectation &Expected) const -> LogEstimate {
  MeasurementSum Sum;
  for (const auto &Each : Workers)
    Sum.add(Each, Each.Speed.variance());
  return Sum.combinedWith(Expected);
}

auto StepWork::estimateWithout(const WorkExpectation &Expected,
                               SpeedLevel Excluded, const SpeedPath &Path) const
    -> LogEstimate {
  MeasurementSum Sum;
  for (const auto &Each : Workers)
    if (group(Each.Speed.Path, Excluded) != group(Path, Excluded))
      Sum.add(Each, Each.Speed.varianceBeside(Path));
  return Sum.combinedWith(Expected);
}

auto StepWork::measuredRuns(SpeedLevel Which, const SpeedPath &Path) const
    -> double {
  double Runs = 0;
  for (const auto &Each : Workers)
    if (group(Each.Speed.Path, Which) == group(Path, Which))
      Runs += Each.Runs;
  return Runs;
}

} // namespace jayramp::scheduling
