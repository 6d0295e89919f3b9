#include "Scheduling/SpeedPreference.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace jayramp::scheduling {

namespace {

/// Ratio of the expected times of neighboring classes. Workers that differ by
/// less are packed as if they were alike.
constexpr double ClassRatio = 1.25;
/// Bounds the classes, so that arithmetic on them cannot overflow.
constexpr SpeedClass MaxClass = 20;
/// A task may take this many times its expected time without being late.
constexpr double PredictionMargin = 1.25;
/// Time from a placement until the run works, and from its end until the end is
/// recorded.
constexpr Milliseconds StartAndEndTime{200};

/// Returns the slowest class in which tasks that take \p Expected on a typical
/// worker take at most \p RunTime.
auto slowestClassWithin(double RunTime, double Expected) -> SpeedClass {
  if (RunTime <= 0)
    return -MaxClass - 1;
  if (Expected <= 0)
    return MaxClass;
  const auto Class =
      std::floor(std::log(RunTime / Expected) / std::log(ClassRatio));
  return static_cast<SpeedClass>(
      std::clamp<double>(Class, -MaxClass - 1, MaxClass));
}

} // namespace

auto speedClassOf(double TimeFactor) -> SpeedClass {
  if (TimeFactor <= 0)
    return 0;
  const auto Class = std::lround(std::log(TimeFactor) / std::log(ClassRatio));
  return static_cast<SpeedClass>(std::clamp<long>(Class, -MaxClass, MaxClass));
}

auto timeFactorOf(SpeedClass Class) -> double {
  return std::pow(ClassRatio, Class);
}

auto SpeedPreference::forTasks(Milliseconds Expected, Milliseconds TimeLeft,
                               double SlackFactor) -> SpeedPreference {
  const auto RunTime =
      static_cast<double>((TimeLeft - StartAndEndTime).count());
  const auto Likely = static_cast<double>(Expected.count());
  const auto Longest = Likely * PredictionMargin;
  return {slowestClassWithin(RunTime, Longest * SlackFactor),
          slowestClassWithin(RunTime, Longest),
          slowestClassWithin(RunTime, Likely)};
}

auto SpeedPreference::rankOf(SpeedClass Class) const -> int {
  // Larger than the rank of any class with slack.
  constexpr int FirstRankWithoutSlack = 2 * MaxClass;
  return Class <= SlowestWithSlack ? -Class : FirstRankWithoutSlack + Class;
}

auto SpeedPreference::rangesForGang(const std::vector<SpeedClass> &Classes,
                                    const SpeedRange &Allowed) const
    -> std::vector<SpeedRange> {
  const auto Alike = rangesOfAlike(Classes, Allowed);
  if (Alike.size() <= 1)
    return {};
  const auto HasSlack = [this](const SpeedRange &Range) {
    return Range.Slowest <= SlowestWithSlack;
  };
  const auto FirstWithoutSlack =
      std::partition_point(Alike.begin(), Alike.end(), HasSlack);
  std::vector<SpeedRange> Ranges(std::make_reverse_iterator(FirstWithoutSlack),
                                 Alike.rend());
  if (Ranges.size() > 1)
    Ranges.push_back({Ranges.back().Fastest, Ranges.front().Slowest});
  for (auto Range = FirstWithoutSlack; Range != Alike.end(); ++Range)
    Ranges.push_back({Alike.front().Fastest, Range->Slowest});
  Ranges.pop_back();
  return Ranges;
}

auto SpeedPreference::rangesOfAlike(const std::vector<SpeedClass> &Classes,
                                    const SpeedRange &Allowed) const
    -> std::vector<SpeedRange> {
  const auto AreAlike = [this](SpeedClass Left, SpeedClass Right) {
    return Right - Left <= 1 &&
           (Left <= SlowestWithSlack) == (Right <= SlowestWithSlack) &&
           (Left <= SlowestInTime) == (Right <= SlowestInTime);
  };
  std::vector<SpeedRange> Ranges;
  for (const auto Class : Classes) {
    if (!Allowed.contains(Class))
      continue;
    if (!Ranges.empty() && AreAlike(Ranges.back().Fastest, Class))
      Ranges.back().Slowest = Class;
    else
      Ranges.push_back({Class, Class});
  }
  return Ranges;
}

} // namespace jayramp::scheduling
