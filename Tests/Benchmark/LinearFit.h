#pragma once

#include <string>
#include <utility>
#include <vector>

namespace jayramp {

/// Fits a least-squares line through measured points.
class LinearFit {
public:
  /// \p Points are pairs of a size and the value measured at that size. A slope
  /// needs at least two different sizes; otherwise it is 0.
  explicit LinearFit(const std::vector<std::pair<double, double>> &Points);

  auto slope() const -> double { return Slope; }
  auto intercept() const -> double { return Intercept; }
  /// Returns the share of the variance that the line explains, 0 to 1.
  auto rSquared() const -> double { return RSquared; }
  /// Returns the value of the line at \p Size.
  auto valueAt(double Size) const -> double { return Intercept + Slope * Size; }

private:
  double Slope = 0;
  double Intercept = 0;
  double RSquared = 0;
};

} // namespace jayramp
