#include "Scheduling/RunTimeModel.h"

#include "Scheduling/JobEntry.h"
#include "Scheduling/Run.h"
#include "Scheduling/StepWork.h"
#include "Scheduling/WorkerEntry.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jayramp::scheduling {

namespace {

constexpr std::uint32_t CompletePercent = 100;
/// Progress is reported in whole percent, so a measurement needs some percent
/// to be accurate.
constexpr std::uint32_t MinMeasuredPercent = 10;
/// Reports are delayed by varying times of up to about a tenth of this.
constexpr Milliseconds MinMeasuredTime{300};
/// A run whose progress stands still for this long is not measured meanwhile.
/// Long tasks get more time for each percent.
constexpr Milliseconds MinStallTime{1000};
constexpr int StallTimeDivisor = 10; ///< Of the estimate.
/// An end that comes later than this after the last report of the worker may
/// have been reported late.
constexpr Milliseconds MaxReportAge{2000};
constexpr Milliseconds RefreshInterval{250};
/// How much the tasks of a step differ is learned only where the time of a run
/// can be predicted with at most this variance otherwise.
constexpr double MaxVarianceForDeviation = 0.1;

auto seconds(Clock::duration Duration) -> double {
  return std::chrono::duration<double>(Duration).count();
}

auto toMilliseconds(double LogSeconds) -> Milliseconds {
  constexpr double MillisPerSecond = 1000.0;
  // Bounded so that the result fits into the type in any case.
  constexpr double MaxLogSeconds = 20.0;
  return Milliseconds(std::llround(
      std::exp(std::min(LogSeconds, MaxLogSeconds)) * MillisPerSecond));
}

auto stepOf(const Run &LiveRun) -> const StepSpec & {
  return LiveRun.Job->Spec.Steps[LiveRun.Id.Step];
}

/// Returns whether the data of the task are in another rack.
auto isAwayFromData(const Run &LiveRun, const WorkerEntry &Worker) -> bool {
  const auto &DataRack = stepOf(LiveRun).DataRack;
  return !DataRack.empty() && DataRack != Worker.Report.Rack;
}

/// Returns whether the step should stay in one rack, but has runs in another
/// one than \p Worker.
auto isSpreadOverRacks(const Run &LiveRun, const WorkerEntry &Worker,
                       const WorkerSpeeds &Speeds) -> bool {
  if (!stepOf(LiveRun).SameRack)
    return false;
  const auto &Tasks = LiveRun.Job->Progress.Steps[LiveRun.Id.Step];
  return std::any_of(Tasks.begin(), Tasks.end(), [&](const auto &Task) {
    return Speeds.rackOf(Task.Worker).value_or(Worker.Rack) != Worker.Rack;
  });
}

/// Returns where the next measurement of the run begins, which may be its start
/// if no report has told of it yet.
auto measuredFrom(const Run &LiveRun) -> std::optional<ProgressMark> {
  if (LiveRun.MeasuredFrom)
    return LiveRun.MeasuredFrom;
  // The members of a gang wait for each other after their start.
  const bool WasReported = LiveRun.LastReportAt != LiveRun.StartedAt;
  if (!LiveRun.IsFresh || WasReported || stepOf(LiveRun).Gang)
    return std::nullopt;
  return ProgressMark{0, LiveRun.StartedAt};
}

/// Returns the inverse variance that measuring \p Share more of a run adds to
/// what \p Runs measured runs tell of a speed. The runs differ by
/// \p TaskVariance each and share an error of the expected work with variance
/// \p WorkVariance.
auto addedPrecision(double Runs, double Share, double TaskVariance,
                    double WorkVariance) -> double {
  const auto Precision = [=](double Count) {
    return Count / (TaskVariance + Count * WorkVariance);
  };
  return Precision(Runs + Share) - Precision(Runs);
}

/// Returns the logarithm of the work of a step as its runs have shown it,
/// without what is expected of its kind.
auto measuredWork(const StepWork &Work, WorkExpectation Expected) -> double {
  constexpr double UninformedVariance = 100;
  Expected.Work.Variance = UninformedVariance;
  return Work.estimate(Expected).Mean;
}

} // namespace

auto RunTimeModel::recordProgress(Run &LiveRun, const WorkerEntry &Worker,
                                  std::uint32_t Percent, TimePoint Now)
    -> void {
  if (LiveRun.Phase != RunPhase::Started)
    return;
  if (Percent <= LiveRun.ProgressPercent) {
    const auto StallTime = std::max<Milliseconds>(
        MinStallTime, stepOf(LiveRun).Estimate / StallTimeDivisor);
    if (Percent < LiveRun.ProgressPercent ||
        Now - LiveRun.LastProgressAt >= StallTime)
      LiveRun.MeasuredFrom.reset();
    else // Later reports no longer show that this is the first one.
      LiveRun.MeasuredFrom = measuredFrom(LiveRun);
    return;
  }
  // A member of a gang may have been done long before the others.
  if (Percent >= CompletePercent)
    return;
  LiveRun.MeasuredFrom = measuredFrom(LiveRun);
  if (LiveRun.MeasuredFrom && LiveRun.MeasuredFrom->At < Now) {
    const auto Progress = Percent - LiveRun.MeasuredFrom->Percent;
    const auto Elapsed = Now - LiveRun.MeasuredFrom->At;
    if (Progress < MinMeasuredPercent || Elapsed < MinMeasuredTime)
      return;
    recordMeasurement(LiveRun, Worker, Progress, Elapsed, Now);
    LiveRun.IsMeasured = true;
  }
  LiveRun.MeasuredFrom = ProgressMark{Percent, Now};
}

auto RunTimeModel::recordSuccess(const Run &LiveRun, const WorkerEntry &Worker,
                                 TimePoint Now) -> void {
  // The members of a gang end together, so the end tells nothing of most.
  if (LiveRun.Phase != RunPhase::Started || stepOf(LiveRun).Gang ||
      Now - LiveRun.LastReportAt > MaxReportAge)
    return;
  const auto From = measuredFrom(LiveRun);
  if (!From || From->Percent + MinMeasuredPercent > CompletePercent ||
      Now - From->At < MinMeasuredTime)
    return;
  recordMeasurement(LiveRun, Worker, CompletePercent - From->Percent,
                    Now - From->At, Now);
}

auto RunTimeModel::recordMeasurement(const Run &LiveRun,
                                     const WorkerEntry &Worker,
                                     std::uint32_t Percent,
                                     Clock::duration Elapsed, TimePoint Now)
    -> void {
  if (isAwayFromData(LiveRun, Worker) ||
      isSpreadOverRacks(LiveRun, Worker, Speeds))
    return;
  auto &Job = *LiveRun.Job;
  const auto &Step = stepOf(LiveRun);
  auto &Work = Job.MeasuredWork[LiveRun.Id.Step];
  const auto Path = Speeds.pathOf(Worker);
  const auto Part = static_cast<double>(Percent) / CompletePercent;
  const auto LogTime = std::log(seconds(Elapsed) / Part);
  // The rest of a run is like its first part, so that tells nearly as much as
  // the whole run.
  const auto Runs = LiveRun.IsMeasured ? Part : 1.0;
  const auto Expected = Kinds.expected(Job.Spec, Step);
  const StepWork::Measurement Measured{Speeds.estimate(Path), LogTime, Runs};
  recordDeviation(Job.Spec, Step, Work, Expected, Measured, Now);
  for (const auto Which : AllSpeedLevels) {
    // The work as others show it: measurements of the group itself would make
    // it look like a typical one.
    const auto Others = Work.estimateWithout(Expected, Which, Path);
    const auto Weight = addedPrecision(Work.measuredRuns(Which, Path), Runs,
                                       Expected.TaskVariance, Others.Variance);
    Speeds.record(Which, Path, LogTime - Others.Mean, Weight, Now);
  }
  Work.record(Measured);
  if (Work.takeSettled())
    Kinds.record(Job.Spec, Step, measuredWork(Work, Expected));
}

auto RunTimeModel::recordDeviation(const JobSpec &Job, const StepSpec &Step,
                                   const StepWork &Work,
                                   const WorkExpectation &Expected,
                                   const StepWork::Measurement &Measured,
                                   TimePoint Now) -> void {
  const auto &Path = Measured.Speed.Path;
  // Later parts of a run resemble the first one, so they tell nothing about the
  // difference between runs.
  if (Work.measuredRuns(SpeedLevel::Worker, Path) > 0)
    return;
  const auto Others = Work.estimateWithout(Expected, SpeedLevel::Worker, Path);
  const auto Earlier = Speeds.measuredAt(SpeedLevel::Worker, Path, Now);
  const auto Variance = Others.Variance + Earlier.Variance;
  if (Variance > MaxVarianceForDeviation)
    return;
  const auto Deviation = Measured.LogTime - Others.Mean - Earlier.Mean;
  // The part of it that is due to the difference between the tasks.
  Kinds.recordDeviation(Job, Step,
                        Deviation *
                            std::sqrt(Expected.TaskVariance /
                                      (Expected.TaskVariance + Variance)));
}

auto RunTimeModel::forgetWorker(const std::string &Id) -> void {
  Speeds.forgetWorker(Id);
}

auto RunTimeModel::refresh(const std::map<std::string, WorkerEntry> &Workers,
                           TimePoint Now) -> bool {
  if (Now < NextRefresh)
    return false;
  NextRefresh = Now + RefreshInterval;
  Speeds.refresh(Workers, Now);
  return true;
}

auto RunTimeModel::timeFactor(const WorkerEntry &Worker) const -> double {
  return std::exp(Speeds.logFactor(Worker));
}

auto RunTimeModel::expectedTime(const JobSpec &Job, std::uint32_t Step) const
    -> Milliseconds {
  const auto &Spec = Job.Steps[Step];
  if (!Kinds.isKnown(Job, Spec))
    return Spec.Estimate;
  return toMilliseconds(Kinds.expected(Job, Spec).Work.Mean);
}

auto RunTimeModel::expectedTime(const JobEntry &Job, std::uint32_t Step) const
    -> Milliseconds {
  const auto &Work = Job.MeasuredWork[Step];
  if (Work.isEmpty())
    return expectedTime(Job.Spec, Step);
  const auto Expected = Kinds.expected(Job.Spec, Job.Spec.Steps[Step]);
  return toMilliseconds(Work.estimate(Expected).Mean);
}

} // namespace jayramp::scheduling
