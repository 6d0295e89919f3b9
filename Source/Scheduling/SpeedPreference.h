#pragma once

#include "Base/Clock.h"

#include <limits>
#include <vector>

namespace jayramp::scheduling {

/// Class of workers of about the same speed: 0 is typical, larger classes are
/// slower. The expected times of neighboring classes differ by a quarter.
using SpeedClass = int;

/// Returns the class of a worker on which a task is expected to take
/// \p TimeFactor times as long as on a typical one.
auto speedClassOf(double TimeFactor) -> SpeedClass;

/// Returns the time factor in the middle of a class.
auto timeFactorOf(SpeedClass Class) -> double;

/// A range of classes, with both ends.
struct SpeedRange {
  SpeedClass Fastest = std::numeric_limits<SpeedClass>::min();
  SpeedClass Slowest = std::numeric_limits<SpeedClass>::max();

  auto operator==(const SpeedRange &) const -> bool = default;

  auto contains(SpeedClass Class) const -> bool {
    return Class >= Fastest && Class <= Slowest;
  }
  auto contains(const SpeedRange &Other) const -> bool {
    return Other.Fastest >= Fastest && Other.Slowest <= Slowest;
  }
};

/// Ranks speed classes for tasks that have some time left. Answers a load in
/// which urgent work with little slack and work with much slack share workers
/// of different speeds: the latter takes the slow workers, and the fast ones
/// stay free for the former.
class SpeedPreference {
public:
  /// Prefers no class: all are in time.
  SpeedPreference() = default;
  /// Returns the preference of tasks that take \p Expected on a typical worker
  /// and should end within \p TimeLeft. They take slow workers if they could
  /// take \p SlackFactor times as long there as expected.
  static auto forTasks(Milliseconds Expected, Milliseconds TimeLeft,
                       double SlackFactor = 1) -> SpeedPreference;

  /// Returns the slowest class in which the tasks are expected to end in time;
  /// the maximum if every class will do.
  auto slowestInTime() const -> SpeedClass { return SlowestInTime; }
  /// Returns the slowest class in which the tasks end in time if they take no
  /// longer than expected. Only slower workers are worth a wait for others.
  auto slowestPossible() const -> SpeedClass { return SlowestPossible; }
  /// Returns a number by which classes are tried, smallest first: those with
  /// slack from the slowest to the fastest, then the others from the fastest to
  /// the slowest.
  auto rankOf(SpeedClass Class) const -> int;
  /// Returns the ranges in which a gang is tried, in order. A gang is as slow
  /// as its slowest member, so alike workers come before mixtures. The last
  /// range, all allowed classes, is left out. \p Classes is sorted and without
  /// duplicates; classes that \p Allowed leaves out are not used.
  auto rangesForGang(const std::vector<SpeedClass> &Classes,
                     const SpeedRange &Allowed) const
      -> std::vector<SpeedRange>;

private:
  /// Returns the ranges of neighboring classes that are the same to the tasks,
  /// the fastest first.
  auto rangesOfAlike(const std::vector<SpeedClass> &Classes,
                     const SpeedRange &Allowed) const
      -> std::vector<SpeedRange>;

  SpeedPreference(SpeedClass SlowestWithSlack, SpeedClass SlowestInTime,
                  SpeedClass SlowestPossible)
      : SlowestWithSlack(SlowestWithSlack), SlowestInTime(SlowestInTime),
        SlowestPossible(SlowestPossible) {}

  SpeedClass SlowestWithSlack = std::numeric_limits<SpeedClass>::max();
  SpeedClass SlowestInTime = std::numeric_limits<SpeedClass>::max();
  SpeedClass SlowestPossible = std::numeric_limits<SpeedClass>::max();
};

} // namespace jayramp::scheduling
