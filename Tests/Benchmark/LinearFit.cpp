#include "Benchmark/LinearFit.h"

namespace jayramp {

LinearFit::LinearFit(const std::vector<std::pair<double, double>> &Points) {
  auto Count = static_cast<double>(Points.size());
  double MeanX = 0;
  double MeanY = 0;
  for (const auto &[X, Y] : Points) {
    MeanX += X / Count;
    MeanY += Y / Count;
  }
  double SumXX = 0;
  double SumXY = 0;
  double SumYY = 0;
  for (const auto &[X, Y] : Points) {
    SumXX += (X - MeanX) * (X - MeanX);
    SumXY += (X - MeanX) * (Y - MeanY);
    SumYY += (Y - MeanY) * (Y - MeanY);
  }
  Slope = SumXX > 0 ? SumXY / SumXX : 0;
  Intercept = MeanY - Slope * MeanX;
  RSquared = SumXX > 0 && SumYY > 0 ? SumXY * SumXY / (SumXX * SumYY) : 1;
}

} // namespace jayramp
