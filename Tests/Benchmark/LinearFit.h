#pragma once

#include <string>
#include <utility>
#include <vector>

namespace jayramp {

/// Least-squares line through measured points.
class LinearFit {
public:
  /// \p Points are pairs of size and figure; at least two with different sizes.
  explicit LinearFit(const std::vector<std::pair<double, double>> &Points);

  auto slope() const -> double { return Slope; }
  auto intercept() const -> double { return Intercept; }
  /// Share of the variance that the line explains, 0 to 1.
  auto determination() const -> double { return Determination; }
  auto at(double Size) const -> double { return Intercept + Slope * Size; }

private:
  double Slope = 0;
  double Intercept = 0;
  double Determination = 0;
};

} // namespace jayramp
