#pragma once

#include "Scheduling/SpeedLevel.h"

#include <array>
#include <cstddef>

namespace jayramp::scheduling {

/// What is known of the speed of a worker.
struct SpeedEstimate {
  SpeedPath Path{};     ///< The groups of the worker.
  double LogFactor = 0; ///< Natural logarithm of the time factor.
  /// Variances of the logarithm, by SpeedLevel: how far the group may be from
  /// what is known of it, relative to the group above.
  std::array<double, SpeedLevelCount> Variances{};

  auto variance() const -> double {
    double Sum = 0;
    for (const auto Each : Variances)
      Sum += Each;
    return Sum;
  }

  /// Returns the variance of the difference to what is known of the groups that
  /// the worker shares with the one of \p Other: an error that both share does
  /// not matter when they are compared.
  auto varianceBeside(const SpeedPath &Other) const -> double {
    double Sum = 0;
    for (std::size_t Position = 0; Position < SpeedLevelCount; ++Position)
      if (Path[Position] != Other[Position])
        Sum += Variances[Position];
    return Sum;
  }

  auto operator==(const SpeedEstimate &) const -> bool = default;
};

} // namespace jayramp::scheduling
