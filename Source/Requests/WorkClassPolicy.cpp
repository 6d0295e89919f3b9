#include "Requests/WorkClassPolicy.h"

#include <algorithm>

namespace jayramp {

namespace {

// With this weight the averages reflect about the last 20 runs. Fewer would let
// single outliers change the class; more would delay the change of class after
// the workload has changed.
constexpr double MinimumSampleWeight = 0.1;
constexpr std::uint32_t MinimumSamples = 5;
// Hysteresis: while the share of long runs is between the two thresholds, the
// class stays, so that a mixed workload does not change class with every run.
constexpr double LongClassThreshold = 0.5;
constexpr double ShortClassThreshold = 0.2;

/// Returns 0 for no declaration, 1 for short and 2 for long work.
auto declarationIndex(std::optional<WorkClass> Declared) -> int {
  if (!Declared)
    return 0;
  return *Declared == WorkClass::Short ? 1 : 2;
}

} // namespace

WorkClassPolicy::WorkClassPolicy(Milliseconds ShortLimit)
    : ShortLimit(ShortLimit) {}

auto WorkClassPolicy::make(Milliseconds ShortLimit) -> Result<WorkClassPolicy> {
  if (ShortLimit <= Milliseconds(0))
    return Error::make(
        ErrorKind::InvalidArgument, "ShortLimit",
        "with a limit of 0 ms or less every request would count as long",
        "set a limit above 0 ms");
  return WorkClassPolicy(ShortLimit);
}

auto WorkClassPolicy::setShortLimit(Milliseconds Limit) -> bool {
  if (Limit <= Milliseconds(0))
    return false;
  ShortLimit = Limit;
  return true;
}

auto WorkClassPolicy::findHistory(std::string_view Account,
                                  std::optional<WorkClass> Declared) const
    -> const RunTimeHistory * {
  auto Position =
      RunTimeHistories.find({std::string(Account), declarationIndex(Declared)});
  if (Position == RunTimeHistories.end() ||
      Position->second.Samples < MinimumSamples)
    return nullptr;
  return &Position->second;
}

auto WorkClassPolicy::recordRunTime(std::string_view Account,
                                    std::optional<WorkClass> Declared,
                                    Milliseconds RunTime) -> void {
  RunTimeHistory &Target =
      RunTimeHistories[{std::string(Account), declarationIndex(Declared)}];
  if (Target.Samples == 0)
    Target.Class = Declared.value_or(WorkClass::Short);
  ++Target.Samples;
  // A plain mean of the first runs, then an exponential moving average.
  double Weight = std::max(MinimumSampleWeight, 1.0 / Target.Samples);
  double LongRunSample = RunTime > ShortLimit ? 1.0 : 0.0;
  double Seconds = std::chrono::duration<double>(RunTime).count();
  Target.LongShare += Weight * (LongRunSample - Target.LongShare);
  Target.MeanSeconds += Weight * (Seconds - Target.MeanSeconds);
  if (Target.Samples < MinimumSamples)
    return;
  if (Target.LongShare >= LongClassThreshold)
    Target.Class = WorkClass::Long;
  else if (Target.LongShare <= ShortClassThreshold)
    Target.Class = WorkClass::Short;
}

auto WorkClassPolicy::classify(std::string_view Account,
                               std::optional<WorkClass> Declared) const
    -> WorkClass {
  const RunTimeHistory *Found = findHistory(Account, Declared);
  return Found ? Found->Class : Declared.value_or(WorkClass::Short);
}

auto WorkClassPolicy::expectedRunSeconds(
    std::string_view Account, std::optional<WorkClass> Declared) const
    -> double {
  // Lower bound of the cost: with a cost of 0 an account's virtual time would
  // not advance.
  constexpr double MinimumSeconds = 0.001;
  if (const RunTimeHistory *Found = findHistory(Account, Declared))
    return std::max(MinimumSeconds, Found->MeanSeconds);
  double Limit = std::chrono::duration<double>(ShortLimit).count();
  return Declared == WorkClass::Long ? Limit * 2 : Limit / 2;
}

} // namespace jayramp
