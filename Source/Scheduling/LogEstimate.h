#pragma once

namespace jayramp::scheduling {

/// Estimate of the natural logarithm of a quantity. Factors of the quantity,
/// such as the work of a task and the speed of its worker, are terms here.
struct LogEstimate {
  double Mean = 0;
  double Variance = 0;

  auto operator==(const LogEstimate &) const -> bool = default;
};

/// Returns the combination of independent estimates of the same quantity, each
/// weighted by its precision. Both variances must be positive.
inline auto combine(const LogEstimate &Left, const LogEstimate &Right)
    -> LogEstimate {
  const double LeftPrecision = 1 / Left.Variance;
  const double RightPrecision = 1 / Right.Variance;
  const double Variance = 1 / (LeftPrecision + RightPrecision);
  return {(Left.Mean * LeftPrecision + Right.Mean * RightPrecision) * Variance,
          Variance};
}

} // namespace jayramp::scheduling
