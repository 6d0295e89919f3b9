#include "Requests/WorkClassPolicy.h"

#include <algorithm>

namespace jayramp {

namespace {

// About the last 20 runs decide. Fewer would let single outliers change the
// class; more would keep a changed workload in the wrong class for long.
constexpr double NewestWeight = 0.1;
constexpr std::uint32_t MinimumSamples = 5;
// Between the two limits the class stays, so that a mixed workload does not
// change class with every run.
constexpr double BecomesLong = 0.5;
constexpr double BecomesShort = 0.2;

auto numberOf(std::optional<WorkClass> Declared) -> int {
  if (!Declared)
    return 0;
  return *Declared == WorkClass::Short ? 1 : 2;
}

} // namespace

WorkClassPolicy::WorkClassPolicy(Milliseconds ShortLimit)
    : ShortLimit(ShortLimit) {}

auto WorkClassPolicy::make(Milliseconds ShortLimit) -> Result<WorkClassPolicy> {
  if (ShortLimit <= Milliseconds(0))
    return Error::make(ErrorKind::InvalidArgument, "ShortLimit",
                       "every request would count as long",
                       "set a limit above 0 ms");
  return WorkClassPolicy(ShortLimit);
}

auto WorkClassPolicy::setShortLimit(Milliseconds Limit) -> bool {
  if (Limit <= Milliseconds(0))
    return false;
  ShortLimit = Limit;
  return true;
}

auto WorkClassPolicy::find(std::string_view Account,
                           std::optional<WorkClass> Declared) const
    -> const History * {
  auto Position = Histories.find({std::string(Account), numberOf(Declared)});
  if (Position == Histories.end() || Position->second.Samples < MinimumSamples)
    return nullptr;
  return &Position->second;
}

auto WorkClassPolicy::recordRunTime(std::string_view Account,
                                    std::optional<WorkClass> Declared,
                                    Milliseconds RunTime) -> void {
  History &Target = Histories[{std::string(Account), numberOf(Declared)}];
  if (Target.Samples == 0)
    Target.Class = Declared.value_or(WorkClass::Short);
  ++Target.Samples;
  // The first runs count equally, later ones with a fixed weight.
  double Weight = std::max(NewestWeight, 1.0 / Target.Samples);
  double IsLong = RunTime > ShortLimit ? 1.0 : 0.0;
  double Seconds = std::chrono::duration<double>(RunTime).count();
  Target.LongShare += Weight * (IsLong - Target.LongShare);
  Target.MeanSeconds += Weight * (Seconds - Target.MeanSeconds);
  if (Target.Samples < MinimumSamples)
    return;
  if (Target.LongShare >= BecomesLong)
    Target.Class = WorkClass::Long;
  else if (Target.LongShare <= BecomesShort)
    Target.Class = WorkClass::Short;
}

auto WorkClassPolicy::classify(std::string_view Account,
                               std::optional<WorkClass> Declared) const
    -> WorkClass {
  const History *Found = find(Account, Declared);
  return Found ? Found->Class : Declared.value_or(WorkClass::Short);
}

auto WorkClassPolicy::expectedRunSeconds(
    std::string_view Account, std::optional<WorkClass> Declared) const
    -> double {
  // A run time of 0 ms would make a request free of charge.
  constexpr double Smallest = 0.001;
  if (const History *Found = find(Account, Declared))
    return std::max(Smallest, Found->MeanSeconds);
  double Limit = std::chrono::duration<double>(ShortLimit).count();
  return Declared == WorkClass::Long ? Limit * 2 : Limit / 2;
}

} // namespace jayramp
