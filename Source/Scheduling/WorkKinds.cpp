#include "Scheduling/WorkKinds.h"

#include "Scheduling/JobSpec.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/covariance.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/median.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <boost/accumulators/statistics/variates/covariate.hpp>

#include <algorithm>
#include <bit>
#include <chrono>
#include <cmath>
#include <utility>

namespace jayramp::scheduling {

namespace {

namespace ba = boost::accumulators;

/// The logarithms of the work, with those of the declared estimates as
/// covariate.
using WorkAccumulator = ba::accumulator_set<
    double, ba::stats<ba::tag::mean, ba::tag::variance,
                      ba::tag::covariance<double, ba::tag::covariate1>>>;
using EstimateAccumulator =
    ba::accumulator_set<double, ba::stats<ba::tag::mean, ba::tag::variance>>;

/// The absolute deviations of runs from the other runs of their step. Their
/// median tells the usual deviation even if some workers have turned slow or
/// some tasks take many times as long as the others.
using DeviationAccumulator =
    ba::accumulator_set<double, ba::stats<ba::tag::median>>;
/// The standard deviation of a normal distribution as a multiple of the median
/// of its absolute deviations.
constexpr double DeviationPerMedian = 1.4826;

/// Before anything is learned, work and estimate may differ by a factor of 2
/// either way, rarely by more.
constexpr double PriorVariance = 0.25;
/// The same if no estimate was declared.
constexpr double UndeclaredVariance = 4.0;
constexpr Milliseconds UndeclaredEstimate{5000};
/// Steps that the prior weighs as much as.
constexpr double PriorSteps = 2.0;
/// Sum of squares that is assumed in favour of estimates that are proportional
/// to the work.
constexpr double PriorSlopeSquares = 0.5;
constexpr double MinVariance = 0.01;
/// Variance among the tasks of a step, before it is learned.
constexpr double PriorTaskVariance = 0.03;
constexpr double MinTaskVariance = 0.01;
/// Runs that the prior weighs as much as.
constexpr double PriorRuns = 20.0;
/// What is expected is learned from this many to twice this many latest steps.
constexpr std::size_t MinStepsKept = 200;
/// The same for the runs that tell how much tasks of a step differ.
constexpr std::size_t MinRunsKept = 100;

auto logEstimate(const StepSpec &Step) -> double {
  const auto Declared =
      Step.Estimate.count() > 0 ? Step.Estimate : UndeclaredEstimate;
  return std::log(std::chrono::duration<double>(Declared).count());
}

auto octave(std::int64_t Amount) -> int {
  return std::bit_width(
      static_cast<std::uint64_t>(std::max<std::int64_t>(Amount, 0)));
}

/// The statistics of a range of steps.
struct StepSample {
  WorkAccumulator Work;
  EstimateAccumulator Estimate;

  auto add(double LogEstimate, double LogWork) -> void {
    Work(LogWork, ba::covariate1 = LogEstimate);
    Estimate(LogEstimate);
  }

  auto count() const -> std::size_t { return ba::count(Work); }
};

} // namespace

/// A linear regression of the logarithm of the work on that of the estimate. A
/// slope of 1 means that work is proportional to the estimate, a slope of 0
/// that the estimate tells nothing.
class WorkKinds::Statistics {
public:
  std::uint64_t LastRecord = 0; ///< Number of the latest record.

  auto record(double LogEstimate, double LogWork) -> void {
    Older.add(LogEstimate, LogWork);
    Newer.add(LogEstimate, LogWork);
    if (Newer.count() < MinStepsKept)
      return;
    Older = std::exchange(Newer, {});
  }

  auto recordDeviation(double Deviation) -> void {
    OlderDeviations(std::abs(Deviation));
    NewerDeviations(std::abs(Deviation));
    if (ba::count(NewerDeviations) >= MinRunsKept)
      OlderDeviations = std::exchange(NewerDeviations, {});
  }

  auto taskVariance() const -> double {
    const auto Count = static_cast<double>(ba::count(OlderDeviations));
    const auto Usual =
        Count > 0 ? DeviationPerMedian * ba::median(OlderDeviations) : 0;
    return std::max((Count * Usual * Usual + PriorRuns * PriorTaskVariance) /
                        (Count + PriorRuns),
                    MinTaskVariance);
  }

  auto isEmpty() const -> bool { return Older.count() == 0; }

  auto expectedWork(double Declared) const -> LogEstimate {
    const auto Count = static_cast<double>(Older.count());
    const auto Covariance = ba::covariance(Older.Work);
    const auto EstimateVariance = ba::variance(Older.Estimate);
    const auto Slope =
        std::clamp((PriorSlopeSquares + Count * Covariance) /
                       (PriorSlopeSquares + Count * EstimateVariance),
                   0.0, 1.0);
    const auto Fitted =
        ba::mean(Older.Work) + Slope * (Declared - ba::mean(Older.Estimate));
    const auto Residual = ba::variance(Older.Work) - 2 * Slope * Covariance +
                          Slope * Slope * EstimateVariance;
    const auto Total = Count + PriorSteps;
    return {(Count * Fitted + PriorSteps * Declared) / Total,
            std::max((Count * Residual + PriorSteps * PriorVariance) / Total,
                     MinVariance)};
  }

private:
  StepSample Older; ///< Includes Newer.
  StepSample Newer;
  DeviationAccumulator OlderDeviations; ///< Include the newer ones.
  DeviationAccumulator NewerDeviations;
};

auto WorkKind::of(const JobSpec &Job, const StepSpec &Step) -> WorkKind {
  constexpr std::int64_t MillisPerCore = 1000;
  return {Job.Queue, octave(Step.Need.CpuMillis / MillisPerCore),
          octave(Step.Need.MemoryMb), Step.Need.Gpus, Step.Gang};
}

WorkKinds::WorkKinds() = default;
WorkKinds::~WorkKinds() = default;

auto WorkKinds::statisticsOf(const JobSpec &Job, const StepSpec &Step)
    -> Statistics & {
  const auto Kind = WorkKind::of(Job, Step);
  auto Found = Kinds.find(Kind);
  if (Found == Kinds.end()) {
    if (Kinds.size() >= MaxKinds)
      Kinds.erase(std::min_element(
          Kinds.begin(), Kinds.end(), [](const auto &Left, const auto &Right) {
            return Left.second->LastRecord < Right.second->LastRecord;
          }));
    Found = Kinds.emplace(Kind, std::make_unique<Statistics>()).first;
  }
  Found->second->LastRecord = ++Records;
  return *Found->second;
}

auto WorkKinds::record(const JobSpec &Job, const StepSpec &Step, double LogWork)
    -> void {
  statisticsOf(Job, Step).record(logEstimate(Step), LogWork);
}

auto WorkKinds::recordDeviation(const JobSpec &Job, const StepSpec &Step,
                                double Deviation) -> void {
  statisticsOf(Job, Step).recordDeviation(Deviation);
}

auto WorkKinds::expected(const JobSpec &Job, const StepSpec &Step) const
    -> WorkExpectation {
  const auto Declared = logEstimate(Step);
  const LogEstimate Prior{
      Declared, Step.Estimate.count() > 0 ? PriorVariance : UndeclaredVariance};
  const auto Found = Kinds.find(WorkKind::of(Job, Step));
  if (Found == Kinds.end())
    return {Prior, PriorTaskVariance};
  const auto &Known = *Found->second;
  return {Known.isEmpty() ? Prior : Known.expectedWork(Declared),
          Known.taskVariance()};
}

auto WorkKinds::isKnown(const JobSpec &Job, const StepSpec &Step) const
    -> bool {
  const auto Found = Kinds.find(WorkKind::of(Job, Step));
  return Found != Kinds.end() && !Found->second->isEmpty();
}

} // namespace jayramp::scheduling
