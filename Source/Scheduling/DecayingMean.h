#pragma once

#include "Base/Clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace jayramp::scheduling {

/// Weighted mean of observations that forgets old ones exponentially, both with
/// time and with the number of later observations.
class DecayingMean {
public:
  struct Memory {
    double TimeConstantSeconds = 1; ///< Weights fall by a factor of e in this.
    double MaxWeight = 1; ///< Earlier observations weigh at most this together.
  };

  // Commands.

  auto add(double Value, double Weight, TimePoint Now, const Memory &Limits)
      -> void {
    Total = std::min(weight(Now, Limits), Limits.MaxWeight) + Weight;
    if (Total <= 0)
      return;
    Mean += Weight / Total * (Value - Mean);
    UpdatedAt = Now;
  }

  // Queries.

  auto mean() const -> double { return Mean; }
  /// Returns the weight of all observations at \p Now.
  auto weight(TimePoint Now, const Memory &Limits) const -> double {
    const std::chrono::duration<double> Age = Now - UpdatedAt;
    return Total *
           std::exp(-std::max(Age.count(), 0.0) / Limits.TimeConstantSeconds);
  }

private:
  double Mean = 0;
  double Total = 0;
  TimePoint UpdatedAt;
};

} // namespace jayramp::scheduling
